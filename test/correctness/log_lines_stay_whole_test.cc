// Guards against log lines of several nodes that run into each other in a pipe that they share and
// whose reader is slow.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <set>
#include <sstream>

#include "log_output.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

constexpr size_t kLineBytes = 150;
constexpr int kLines = 1'200;

// A line as a sink gets it, without the time and place that LogOutput adds.
std::string LineOf(char writer, int number) {
  std::string text = "event=line writer=" + std::string(1, writer) + " number=";
  text += std::to_string(number) + " ";
  return text + std::string(kLineBytes - text.size(), writer);
}

void Write(LogOutput& output, const std::string& line) {
  output.send(google::GLOG_WARNING, "a.cc", "a.cc", 1, google::LogMessageTime(), line.data(),
              line.size());
}

TEST(LogLinesStayWhole, WritersOfAFullPipeDoNotCutLines) {
  std::array<int, 2> fds{};
  ASSERT_EQ(pipe2(fds.data(), O_NONBLOCK), 0);
  EventLoop loop;
  std::string text;
  std::set<std::string> expected;
  {
    LogOutput first(loop, fds[1]);
    LogOutput second(loop, fds[1]);
    for (int i = 0; i < kLines; ++i) {
      expected.insert(LineOf('a', i));
      expected.insert(LineOf('b', i));
      Write(first, LineOf('a', i));
      Write(second, LineOf('b', i));
    }
    std::array<char, 30'000> part{};
    Timer reader(loop, [&] {
      ssize_t length = read(fds[0], part.data(), part.size());
      if (length > 0) text.append(part.data(), static_cast<size_t>(length));
      reader.Start(std::chrono::milliseconds(7));
    });
    reader.Start(std::chrono::milliseconds(150));
    auto ends = [&] { return static_cast<size_t>(std::count(text.begin(), text.end(), '\n')); };
    EXPECT_TRUE(RunUntil(loop, [&] { return ends() == expected.size(); }));
  }
  close(fds[0]);
  close(fds[1]);
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    size_t start = line.find("event=line");
    ASSERT_NE(start, std::string::npos) << line;
    EXPECT_EQ(expected.erase(line.substr(start)), 1U) << line;
  }
  EXPECT_TRUE(expected.empty());
}

}  // namespace
}  // namespace guavatrail
