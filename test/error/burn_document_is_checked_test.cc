// Guards against a malformed burn document of another node that is counted or that terminates the
// process.
#include <gtest/gtest.h>

#include "burn.h"

namespace guavatrail {
namespace {

void Replace(std::string& text, const std::string& from, const std::string& to) {
  size_t at = text.find(from);
  ASSERT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
}

TEST(BurnDocumentIsChecked, ReportsMalformedDocuments) {
  BurnRecorder recorder;
  recorder.Record("catalogo", "lookup", CallOutcome::kGood, 5'000, 0);
  const std::string valid = ToJson(recorder.Snapshot("n1", 0));
  ASSERT_TRUE(ParseNodeBurn(valid));
  const std::pair<const char*, const char*> kWrong[] = {{"\"good\":1", "\"good\":\"many\""},
                                                        {"\"good\":1", "\"fair\":1"},
                                                        {"\"bins\":[[", "\"bins\":[[9999,1],["},
                                                        {"\"bin_count\":", "\"bin_count\":1"},
                                                        {"\"node\":", "\"name\":"}};
  for (const auto& [from, to] : kWrong) {
    std::string wrong = valid;
    Replace(wrong, from, to);
    auto parsed = ParseNodeBurn(wrong);
    ASSERT_FALSE(parsed) << wrong;
    EXPECT_EQ(parsed.error().message.rfind("burn document: ", 0), 0U);
  }
  EXPECT_FALSE(ParseNodeBurn(valid.substr(0, valid.size() / 2)));
  EXPECT_FALSE(ParseNodeBurn(""));
}

}  // namespace
}  // namespace guavatrail
