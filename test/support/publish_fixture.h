// Defines PublishFixture, a test fixture with a publisher on an in-process platform, and helpers
// that create small notes.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config_store.h"
#include "event_loop.h"
#include "fake_platform.h"
#include "platform_client.h"
#include "publisher.h"
#include "random_source.h"

namespace guavatrail {

// Creates a note that adds one service.
inline ReleaseNote AddService(const std::string& id, const std::string& service) {
  return {id, "test", "", {Service{service, "test", 0.99}}, {}, {}};
}

class PublishFixture : public testing::Test {
 protected:
  static constexpr std::chrono::milliseconds kPlatformTimeout{500};

  PublishFixture()
      : m_platform(m_loop),
        m_client(m_loop, {"127.0.0.1", m_platform.port(), kPlatformTimeout}),
        m_random(1),
        m_publisher(m_loop, m_client, m_random, {.timeout = std::chrono::milliseconds(400)}) {}

  PublishResult Publish(const ReleaseNote& note) { return PublishAll({note})[0]; }

  // Publishes all notes concurrently.
  std::vector<PublishResult> PublishAll(const std::vector<ReleaseNote>& notes) {
    std::vector<PublishResult> results(notes.size());
    size_t open = notes.size();
    for (size_t i = 0; i < notes.size(); ++i) {
      m_publisher.Publish(notes[i], [&, i](PublishResult result) {
        results[i] = std::move(result);
        if (--open == 0) m_loop.Stop();
      });
    }
    m_loop.Run();
    return results;
  }

  void RunFor(std::chrono::milliseconds time) {
    Timer stop(m_loop, [this] { m_loop.Stop(); });
    stop.Start(time);
    m_loop.Run();
  }

  HeadObject Head() {
    HeadObject head;
    ReadHead(m_client, [&](auto read) {
      EXPECT_TRUE(read);
      if (read) head = *read;
      m_loop.Stop();
    });
    m_loop.Run();
    return head;
  }

  std::vector<LogEntry> History() {
    std::vector<LogEntry> history;
    ReadHistory(m_client, [&](auto read) {
      EXPECT_TRUE(read);
      if (read) history = *read;
      m_loop.Stop();
    });
    m_loop.Run();
    return history;
  }

  // Number of log entries with this note id.
  size_t CountInLog(const std::string& id) {
    size_t count = 0;
    for (const LogEntry& entry : History()) count += entry.note_id == id ? 1 : 0;
    return count;
  }

  // Injects `fault` into the next `count` writes of the head.
  void FailHeadWrites(Fault fault, int count = 1) {
    m_platform.SetFaultRule([fault, count](std::string_view method, std::string_view key) mutable {
      return method == "PUT" && key == kHeadKey && count-- > 0 ? fault : Fault::kNone;
    });
  }

  EventLoop m_loop;
  FakePlatform m_platform;
  PlatformClient m_client;
  RandomSource m_random;
  Publisher m_publisher;
};

}  // namespace guavatrail
