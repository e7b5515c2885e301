// Checks that no input crashes HttpReader, makes it loop forever, or makes it find more than
// three messages in an input of two.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include "http_reader.h"
#include "random_source.h"

namespace guavatrail {
namespace {

struct BufferDeleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using Buffer = std::unique_ptr<evbuffer, BufferDeleter>;

// Feeds `bytes` in parts and returns the number of complete messages.
int ReadAll(HttpReader::Kind kind, const std::string& bytes, RandomSource& random) {
  HttpReader reader(kind, 4096);
  Buffer input(evbuffer_new());
  Buffer body(evbuffer_new());
  int messages = 0;
  size_t fed = 0;
  while (true) {
    HttpReader::Event event = reader.Next(input.get(), body.get());
    evbuffer_drain(body.get(), evbuffer_get_length(body.get()));
    if (event == HttpReader::Event::kError) return messages;
    if (event == HttpReader::Event::kDone) ++messages;
    if (event != HttpReader::Event::kNeedMore) continue;
    if (fed == bytes.size()) return messages;
    size_t part = std::min<size_t>(bytes.size() - fed, 1 + random.Below(40));
    evbuffer_add(input.get(), bytes.data() + fed, part);
    fed += part;
  }
}

const char* const kRequests[] = {
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"
    "DELETE /b HTTP/1.1\r\nHost: a\r\n\r\n"};
const char* const kAnswers[] = {
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};

TEST(HttpReaderSurvivesMutations, WholeMessagesInParts) {
  RandomSource random(1);
  for (int round = 0; round < 50; ++round) {
    for (const char* bytes : kRequests) {
      EXPECT_EQ(ReadAll(HttpReader::Kind::kRequest, bytes, random), 2);
    }
    for (const char* bytes : kAnswers) {
      EXPECT_EQ(ReadAll(HttpReader::Kind::kAnswer, bytes, random), 2);
    }
  }
}

TEST(HttpReaderSurvivesMutations, MutatedMessages) {
  RandomSource random(2);
  for (int round = 0; round < 20'000; ++round) {
    bool is_request = random.Below(2) == 0;
    std::string bytes = is_request ? kRequests[random.Below(2)] : kAnswers[random.Below(2)];
    for (uint64_t i = 0; i <= random.Below(4); ++i) {
      size_t at = random.Below(bytes.size());
      switch (random.Below(3)) {
        case 0:
          bytes[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          bytes.erase(at, 1 + random.Below(4));
          break;
        default:
          bytes.insert(at, 1, "\r\n :0"[random.Below(5)]);
      }
      if (bytes.empty()) break;
    }
    auto kind = is_request ? HttpReader::Kind::kRequest : HttpReader::Kind::kAnswer;
    // The input has two messages and, in one case, a 100 Continue, so at most three heads.
    EXPECT_LE(ReadAll(kind, bytes, random), 3) << bytes;
  }
}

TEST(HttpReaderSurvivesMutations, AHeadOverTheLimitIsAnError) {
  RandomSource random(3);
  Buffer input(evbuffer_new());
  Buffer body(evbuffer_new());
  HttpReader reader(HttpReader::Kind::kRequest, 100);
  std::string head = "GET /a HTTP/1.1\r\nHost: a\r\nA: " + std::string(100, 'x');
  evbuffer_add(input.get(), head.data(), head.size());
  EXPECT_EQ(reader.Next(input.get(), body.get()), HttpReader::Event::kError);
  EXPECT_EQ(reader.error(), HttpReadError::kHeadTooLarge);
}

TEST(HttpReaderSurvivesMutations, AnswerWithoutLengthEndsAtClose) {
  Buffer input(evbuffer_new());
  Buffer body(evbuffer_new());
  HttpReader reader(HttpReader::Kind::kAnswer, 4096);
  std::string bytes = "HTTP/1.1 200 OK\r\n\r\npart";
  evbuffer_add(input.get(), bytes.data(), bytes.size());
  EXPECT_EQ(reader.Next(input.get(), body.get()), HttpReader::Event::kHead);
  EXPECT_EQ(reader.head().framing, BodyFraming::kUntilClose);
  EXPECT_EQ(reader.Next(input.get(), body.get()), HttpReader::Event::kBody);
  EXPECT_TRUE(reader.IsCompleteAtClose());
}

}  // namespace
}  // namespace guavatrail
