// Defines FakeServer, a hand-written HTTP server over raw sockets that answers as a test tells it:
// whole, late, cut short, or not at all.
#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop.h"

struct bufferevent;

namespace guavatrail {

class FakeConnection {
 public:
  FakeConnection(EventLoop& loop, int fd, int number);
  ~FakeConnection();

  void Send(std::string_view bytes);
  // Closes after what was sent before has been written.
  void Close();
  void StopReading();
  // The peer has closed.
  bool peer_closed() const { return m_peer_closed; }
  size_t unsent_bytes() const;
  // Counts from 1 in the order of acceptance.
  int number() const { return m_number; }

 private:
  friend class FakeServer;
  static void OnRead(bufferevent* bev, void* arg);
  static void OnWrite(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);

  bufferevent* m_bev;
  int m_number;
  bool m_peer_closed = false;
  bool m_closing = false;
  std::function<void(FakeConnection&, std::string)> m_on_request;
};

class FakeServer {
 public:
  // Receives a whole request: request line, headers and body as text.
  using Handler = std::function<void(FakeConnection&, const std::string& request)>;

  FakeServer(EventLoop& loop, Handler handler);
  ~FakeServer();

  uint16_t port() const { return m_port; }
  int connections() const { return static_cast<int>(m_connections.size()); }
  // Requests received so far.
  int requests() const { return m_requests; }
  FakeConnection& last_connection() { return *m_connections.back(); }
  std::list<std::unique_ptr<FakeConnection>>& connection_list() { return m_connections; }
  // Null when that connection is gone.
  FakeConnection* Find(int number);

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* arg);

  EventLoop& m_loop;
  Handler m_handler;
  evconnlistener* m_listener;
  uint16_t m_port = 0;
  int m_requests = 0;
  std::list<std::unique_ptr<FakeConnection>> m_connections;
};

// A port on the loopback interface on which nothing listens.
uint16_t UnusedPort();

// A free port below the range from which the system takes ports for connections, so that none of
// these occupies it before it is listened on. Another one at each call.
uint16_t FreeFixedPort();

// An answer with Content-Length; `headers` are lines ending in CRLF.
std::string MakeAnswer(int status, std::string_view body, std::string_view headers = "");

// A raw client connection that collects what it receives.
class FakeClient {
 public:
  FakeClient(EventLoop& loop, uint16_t port);
  ~FakeClient();

  void Send(std::string_view bytes);
  // Writes to the socket at once, not from the loop.
  void SendBlocking(std::string_view bytes);
  void Close();
  void PauseReading();
  void ResumeReading();

  const std::string& received() const { return m_received; }
  bool closed_by_peer() const { return m_closed; }
  // Whether the connection ended by a reset.
  bool was_reset() const { return m_reset; }
  // Whether `received` starts with a whole answer with Content-Length or in chunks.
  bool HasCompleteAnswer() const;
  // Status of the first answer; 0 before it has come.
  int status() const;
  // The value of a header of the first answer; empty when absent.
  std::string header(std::string_view name) const;
  // The body of the first answer, chunks joined.
  std::string body() const;
  // Forgets the first whole answer, for keep-alive connections.
  void DiscardAnswer() { m_received.clear(); }

 private:
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  bufferevent* m_bev;
  std::string m_received;
  bool m_closed = false;
  bool m_reset = false;
};

// An HTTP/1.1 request; a POST gets its Content-Length.
std::string MakeRequest(const std::string& method, const std::string& path,
                        const std::string& headers, const std::string& body);

}  // namespace guavatrail
