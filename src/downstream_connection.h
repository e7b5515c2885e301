// Defines DownstreamConnection, one accepted HTTP connection: it reads one request after another
// and carries their answers.
#pragma once

#include <event2/util.h>

#include <memory>
#include <string>

#include "downstream_request.h"
#include "event_loop.h"
#include "http_reader.h"

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

  // For the request that is being answered.
  evbuffer* output();
  bool will_close() const { return m_closes; }
  void CloseAfterAnswer() { m_closes = true; }
  // All bytes of the answer are in the output.
  void FinishAnswer();
  // Ends the connection in the middle of an answer; `reset` tells the sender so by a reset.
  void Abort(bool reset);
  // The answer that begins has this many bytes; a large one is paced.
  void ExpectAnswerBytes(uint64_t bytes);

 private:
  enum class State {
    kReading,    // Waits for a request or reads one.
    kAnswering,  // A request is being answered.
    kLingering,  // The last answer was written; what the sender still sends is dropped.
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
  void OnTimer();
  void OnWritten(size_t bytes, size_t left);
  void OnAnswerWritten();
  void EndPacing();
  void Linger();
  void Close();
  void StartReadTimer();

  HttpListener& m_listener;
  bufferevent* m_bev;
  evbuffer_cb_entry* m_output_entry = nullptr;
  evbuffer* m_body;
  HttpReader m_reader;
  HttpHead m_head;
  Timer m_timer;
  State m_state = State::kReading;
  DownstreamRequest* m_request = nullptr;
  int64_t m_paced_bytes = 0;       // Of a large answer, not yet written; 0: not paced.
  bool m_closes = false;           // The connection ends after the current answer.
  bool m_is_answer_whole = false;  // All bytes of the current answer are in the output.
  bool m_has_first_byte = false;   // Of the request that is read.
};

}  // namespace guavatrail
