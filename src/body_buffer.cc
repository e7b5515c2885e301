#include "body_buffer.h"

#include <event2/buffer.h>

#include <algorithm>

namespace guavatrail {

namespace {

// A piece of this size or less may be in memory as a whole; of a larger one only what is used. The
// allocator keeps freed pieces of this size, so with larger ones a crowd of incomplete bodies would
// leave more free memory with the process.
constexpr size_t kSmallPieceBytes = 16'384;
constexpr size_t kPageBytes = 4'096;

// The next capacity of a first piece that has to hold `bytes`. The steps are wide enough that
// std::string does not round them up.
size_t NextCapacity(size_t bytes, size_t old) {
  if (old == 0 && bytes <= kSmallPieceBytes) return bytes;
  for (size_t step : {size_t{4'096}, kSmallPieceBytes}) {
    if (step >= bytes && step >= 2 * old) return step;
  }
  return BodyBuffer::kPieceBytes;
}

}  // namespace

void BodyBuffer::Append(evbuffer* data) {
  for (size_t length = evbuffer_get_length(data); length > 0; length = evbuffer_get_length(data)) {
    if (m_pieces.empty() || m_pieces.back().size() == kPieceBytes) {
      m_pieces.emplace_back();
      if (m_pieces.size() > 1) m_pieces.back().reserve(kPieceBytes);
    }
    std::string& piece = m_pieces.back();
    size_t old = piece.size();
    size_t added = std::min(length, kPieceBytes - old);
    // The first piece grows with the body, since most bodies are small.
    if (old + added > piece.capacity()) piece.reserve(NextCapacity(old + added, old));
    piece.resize(old + added);
    evbuffer_remove(data, piece.data() + old, added);
    m_size += added;
  }
}

std::string BodyBuffer::Take() {
  std::string body;
  if (m_pieces.size() == 1) {
    body = std::move(m_pieces.front());
  } else {
    body.reserve(m_size);
    for (std::string& piece : m_pieces) {
      body += piece;
      std::string().swap(piece);
    }
  }
  Clear();
  return body;
}

void BodyBuffer::Clear() {
  std::vector<std::string>().swap(m_pieces);
  m_size = 0;
}

size_t BodyBuffer::MemoryOf(const std::string& text) {
  return text.capacity() <= kSmallPieceBytes ? text.capacity() : text.size() + kPageBytes;
}

size_t BodyBuffer::held_bytes() const {
  if (m_pieces.empty()) return 0;
  return m_pieces.size() == 1 ? MemoryOf(m_pieces.front()) : m_size + kPageBytes;
}

}  // namespace guavatrail
