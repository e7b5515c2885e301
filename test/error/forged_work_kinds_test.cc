// Guards against clients of the peer port that make the process keep each name of a work kind that
// they make up.
#include "serving_fixture.h"
#include "work_tag.h"

namespace guavatrail {
namespace {

class ForgedWorkKinds : public ServingFixture {
 protected:
  // Number of work kinds with a metric of their own.
  size_t Kinds() const {
    std::string text = m_metrics.Text();
    size_t count = 0;
    for (size_t at = text.find(kMetric); at != std::string::npos; at = text.find(kMetric, at + 1)) {
      ++count;
    }
    return count;
  }

  static constexpr char kMetric[] = "server_answer_us_count{";
};

TEST_F(ForgedWorkKinds, NamesOfMetricsAreLimited) {
  m_answers_immediately = true;
  Start();
  for (size_t i = 0; i < 2 * ServingProxy::kMaxKindLabels; ++i) {
    SendAndWait(
        "GET", "/parts/1",
        "X-Guavatrail-Work: kind-" + std::to_string(i) + ";importance=1;short;repeatable\r\n");
  }
  EXPECT_EQ(Kinds(), ServingProxy::kMaxKindLabels + 1);
}

TEST_F(ForgedWorkKinds, NameThatNoConfigurationAllowsIsNotUsed) {
  for (const std::string& name : {std::string(64, 'x'), std::string("a\"b"), std::string("A b")}) {
    EXPECT_FALSE(ParseWorkTag(name + ";importance=1;short;repeatable")) << name;
  }
  EXPECT_TRUE(ParseWorkTag(std::string(63, 'x') + ";importance=1;short;repeatable"));
}

}  // namespace
}  // namespace guavatrail
