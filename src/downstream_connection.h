// Defines DownstreamConnection, an accepted HTTP connection, which reads requests one at a time and
// writes their answers.
#pragma once

#include <event2/util.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "body_buffer.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_reader.h"
#include "request_memory.h"

struct bufferevent;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace guavatrail {

// Owned by its HttpListener.
class DownstreamConnection {
 public:
  DownstreamConnection(HttpListener& listener, evutil_socket_t fd);
  ~DownstreamConnection();
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;

  // The output buffer, to which the answer of the current request is written.
  evbuffer* output();
  // Closes an idle connection, unless a request has arrived on it that is still unread. Returns
  // whether it was closed.
  bool CloseIfUnused();
  // Monotonic time since which the connection has been idle.
  int64_t idle_since_us() const { return m_idle_since_us; }
  bool will_close() const { return m_closes_after_answer; }
  void CloseAfterAnswer() { m_closes_after_answer = true; }
  // Must be called when all bytes of the answer have been added to the output.
  void FinishAnswer();
  // Closes the connection in the middle of an answer, with a TCP reset if `reset`.
  void Abort(bool reset);
  // Announces the body size of the answer that begins; large answers are paced.
  void SetAnswerLength(uint64_t bytes);
  // Must be called when answer bytes have been added to the output.
  void CountAnswer();
  // Whether answers must be buffered as little as possible.
  bool is_memory_short() const;

 private:
  enum class State {
    kReading,    // Waiting for a request or reading one.
    kAnswering,  // A request is being processed or its answer written.
    kLingering,  // Lingering close: the last answer was written, further input is discarded.
    kClosed,
  };

  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  void Read();
  void OnHead();
  void OnBody();
  void Dispatch();
  void Refuse(int status);
  bool CountIncoming();
  void CountReadAhead();
  size_t ReadAheadBytes() const;
  void OnEvicted();
  void ReleaseRequest();
  void OnTimer();
  void OnWritten(size_t bytes, size_t left);
  void OnAnswerWritten();
  void EndPacing();
  void Linger();
  void StartIdle();
  void EndIdle();
  void Close();
  void StartReadTimer();

  HttpListener& m_listener;
  bufferevent* m_bev;
  evbuffer_cb_entry* m_output_entry = nullptr;
  evbuffer* m_body;         // The part of the body that was read last.
  BodyBuffer m_body_parts;  // The body so far.
  HttpReader m_reader;
  HttpHead m_head;
  size_t m_head_bytes = 0;  // Memory that the head of the request being read takes.
  MemoryShare m_memory;     // Of the request being read, of read-ahead and of unsent answers.
  Timer m_timer;
  // Position among the idle connections of the listener; not set while a request is read, processed
  // or answered.
  std::optional<std::list<DownstreamConnection*>::iterator> m_idle_entry;
  int64_t m_idle_since_us = 0;
  State m_state = State::kReading;
  DownstreamRequest* m_request = nullptr;
  int64_t m_paced_bytes = 0;           // Unwritten bytes of a large answer; 0: not paced.
  bool m_closes_after_answer = false;  // The connection is closed after the current answer.
  bool m_is_answer_complete = false;   // All bytes of the current answer are in the output.
  bool m_has_first_byte = false;       // A byte of the request being read has been received.
  bool m_discards_input = false;       // Read-ahead did not fit in memory; its requests never run.
};

}  // namespace guavatrail
