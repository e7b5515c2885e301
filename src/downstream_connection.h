// Defines DownstreamConnection, an accepted HTTP connection, which reads requests and writes their
// answers in the order of the requests.
#pragma once

#include <event2/util.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "body_buffer.h"
#include "downstream_request.h"
#include "event_loop.h"
#include "http_listener.h"
#include "http_reader.h"
#include "request_memory.h"
#include "request_pipeline.h"
#include "transfer_progress.h"

struct bufferevent;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace guavatrail {

// Owned by its HttpListener. Requests that the listener says may overlap are started while earlier
// ones are in progress; see RequestPipeline. The answer of a request whose turn has not come is
// held.
class DownstreamConnection {
 public:
  DownstreamConnection(HttpListener& listener, evutil_socket_t fd);
  ~DownstreamConnection();
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;

  // Closes an idle connection, unless a request has arrived on it that is still unread. Returns
  // whether it was closed.
  bool CloseIfUnused();
  // Monotonic time since which the client has delayed the request being read or the answer being
  // sent; nullopt if it does not, or not for long.
  std::optional<int64_t> StalledSinceUs(int64_t now_us) const;
  // Refuses the request being read, or cuts off the answer being sent, since its client delays it
  // and the port is full.
  void GiveUp();
  // Monotonic time since which the connection has been idle.
  int64_t idle_since_us() const { return m_idle_since_us; }

  // For a request that was started and has not ended:
  // The buffer to which its answer is written.
  evbuffer* OutputOf(const DownstreamRequest& request);
  // Bytes of its answer that are not written to the socket yet. For an answer that is held, all
  // held bytes of the connection, so that the limit of one answer applies to all of them together.
  size_t UnsentBytesOf(const DownstreamRequest& request) const;
  // Whether the connection is closed after its answer.
  bool ClosesAfter(const DownstreamRequest& request) { return AnswerOf(request).closes; }
  void CloseAfter(const DownstreamRequest& request) { AnswerOf(request).closes = true; }
  // Must be called when all bytes of its answer have been added to the output.
  void FinishAnswer(const DownstreamRequest& request);
  // Ends its answer incomplete: cancels the requests behind it, and closes the connection, with a
  // TCP reset if `reset`, as soon as the answers before it have been sent.
  void Abort(const DownstreamRequest& request, bool reset);
  // Announces the body size of its answer, which begins; large answers are paced.
  void SetAnswerLength(const DownstreamRequest& request, uint64_t bytes);
  // Reserves memory for a further `bytes` of an answer. Returns false if they do not fit.
  bool MakeRoomFor(size_t bytes);
  // Must be called when answer bytes have been added to an output.
  void CountAnswer();
  // Whether answers must be buffered as little as possible.
  bool is_memory_short() const;

 private:
  enum class State {
    kOpen,       // Requests are read, processed and answered.
    kLingering,  // Lingering close: the last answer was written, further input is discarded.
    kClosed,
  };

  struct BufferDeleter {
    void operator()(evbuffer* buffer) const;
  };

  // The answer of a request that was started.
  struct Answer {
    DownstreamRequest* request;  // Null: broken off before its turn.
    // Bytes that wait for the turn of the answer. Null: none have been added yet.
    std::unique_ptr<evbuffer, BufferDeleter> held;
    int64_t paced_bytes = 0;   // Unwritten bytes of a large answer; 0: not paced.
    bool is_complete = false;  // All its bytes have been added.
    bool closes = false;       // The connection is closed after it.
  };

  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* arg);
  void Read();
  bool CanRead() const;
  void DiscardInput();
  void UpdateReading();
  void OnHead();
  void ReadBody();
  void OnBody();
  void OnComplete();
  void Wait();
  void EndWait();
  void Dispatch(const PipelinedRequest& properties);
  void Refuse(int status, std::string_view reason = {});
  void SendRefusal();
  bool CountIncoming();
  void DiscardReadAhead();
  size_t HeldBytes() const;
  size_t HeldAnswerBytes() const;
  MemoryUse CurrentUse() const;
  void OnEvicted();
  void Release(std::string_view refusal_reason);
  void ReleaseRequest();
  void WidenWindow();
  void NarrowWindow();
  void OnTimer();
  void OnWritten(size_t bytes, size_t left);
  void OnAnswerWritten();
  void PostAnswerWritten();
  void StartNextAnswer();
  size_t IndexOf(const DownstreamRequest& request) const;
  Answer& AnswerOf(const DownstreamRequest& request) { return m_answers[IndexOf(request)]; }
  void EndPacing(Answer& answer);
  size_t CancelFrom(size_t first);
  void CancelAfterAbort();
  void Linger();
  void StartIdle();
  void EndIdle();
  void Close();
  void Shut();
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
  // Of the request being read, or of the answer whose turn it is.
  TransferProgress m_progress;
  State m_state = State::kOpen;
  RequestPipeline m_pipeline;
  std::deque<Answer> m_answers;       // Of the requests in m_pipeline; it is the turn of the first.
  size_t m_request_bytes = 0;         // Bytes read of the request being read.
  int m_refusal = 0;                  // Status of a refusal that waits for its turn; 0: none.
  std::string_view m_refusal_reason;  // Empty: none is stated.
  bool m_discards_input = false;      // Read-ahead did not fit in memory; its requests never run.
  bool m_has_wide_window = false;
  bool m_is_broken = false;            // An answer was broken off before its turn.
  bool m_has_first_byte = false;       // A byte of the request being read has been received.
  bool m_is_waiting = false;           // The request being read waits for all earlier answers.
  bool m_is_request_complete = false;  // The request that waits has been read completely.
};

}  // namespace guavatrail
