// Defines BodyBuffer, which collects the body of a request in few large pieces of memory.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

struct evbuffer;

namespace guavatrail {

class BodyBuffer {
 public:
  // Pieces of this size are mapped separately by the allocator (see apps/guavatraild.cc), so that
  // each returns to the system when it is freed.
  static constexpr size_t kPieceBytes = 262'144;

  // Moves all bytes of `data` to the end. An evbuffer would keep the gaps between the parts in
  // which they were received.
  void Append(evbuffer* data);
  // Returns the body and empties the buffer. A large body is held twice by one piece at most.
  std::string Take();
  void Clear();

  size_t size() const { return m_size; }
  // The memory that `text` takes.
  static size_t MemoryOf(const std::string& text);
  // The memory that the body takes.
  size_t held_bytes() const;

 private:
  std::vector<std::string> m_pieces;  // All but the last one are full.
  size_t m_size = 0;
};

}  // namespace guavatrail
