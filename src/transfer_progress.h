// Defines TransferProgress, which tells since when a transfer has made no progress.
#pragma once

#include <cstddef>
#include <cstdint>

namespace guavatrail {

// All times are microseconds of one monotonic clock.
class TransferProgress {
 public:
  // Bytes that count as progress. Fewer would let a client that sends or takes single bytes hold a
  // connection or its memory for as long as it likes.
  static constexpr size_t kProgressBytes = 16'384;

  void Restart(int64_t now_us) {
    m_since_us = now_us;
    m_bytes = 0;
  }
  // Counts transferred bytes. Returns whether they are progress together with those before, in
  // which case Restart() must follow.
  bool Add(size_t bytes) {
    m_bytes += bytes;
    return m_bytes >= kProgressBytes;
  }
  int64_t since_us() const { return m_since_us; }

 private:
  int64_t m_since_us = 0;
  size_t m_bytes = 0;
};

}  // namespace guavatrail
