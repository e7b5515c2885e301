// Defines FakeServer, an HTTP server over raw sockets whose answers a test controls byte by byte
// (complete, delayed, truncated or missing), and FakeClient, the corresponding client.
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
  // Closes the connection once all bytes passed to Send have been written.
  void Close();
  void StopReading();
  void Reset();
  bool peer_closed() const { return m_peer_closed; }
  // Number of bytes passed to Send that the socket has not accepted yet.
  size_t unsent_bytes() const;
  // Position in the order of acceptance, from 1.
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
  // Called with each complete request: request line, headers and body.
  using Handler = std::function<void(FakeConnection&, const std::string& request)>;

  // Port 0 selects a free port. A server that is restarted needs one of FreeFixedPort, since an
  // outgoing connection may occupy any other while it is down.
  FakeServer(EventLoop& loop, Handler handler, uint16_t port = 0);
  ~FakeServer();

  // Ends as a process does that crashes: resets all connections, and nothing listens at the port
  // until Restart(). Must not be called by the handler.
  void Crash();
  void Restart();

  uint16_t port() const { return m_port; }
  int connections() const { return static_cast<int>(m_connections.size()); }
  // Number of complete requests received.
  int requests() const { return m_requests; }
  FakeConnection& last_connection() { return *m_connections.back(); }
  std::list<std::unique_ptr<FakeConnection>>& connection_list() { return m_connections; }
  // Returns null if there is no such connection.
  FakeConnection* Find(int number);

 private:
  static void OnAccept(evconnlistener*, int fd, sockaddr*, int, void* arg);
  void Listen(uint16_t port);

  EventLoop& m_loop;
  Handler m_handler;
  evconnlistener* m_listener = nullptr;
  uint16_t m_port = 0;
  int m_requests = 0;
  std::list<std::unique_ptr<FakeConnection>> m_connections;
};

// Returns a port on the loopback interface on which nothing listens.
uint16_t UnusedPort();

// Returns a free port below the ephemeral range, so that no outgoing connection occupies it before
// the caller listens on it. Each call returns a different port.
uint16_t FreeFixedPort();

// Formats an answer with Content-Length; `headers` are lines that end in CRLF.
std::string MakeAnswer(int status, std::string_view body, std::string_view headers = "");

// A client connection that collects the bytes it receives.
class FakeClient {
 public:
  FakeClient(EventLoop& loop, uint16_t port);
  ~FakeClient();

  void Send(std::string_view bytes);
  // Writes to the socket immediately instead of from the event loop.
  void SendBlocking(std::string_view bytes);
  void Close();
  // Closes the sending side only. All bytes passed to Send must have been written.
  void CloseSending();
  void PauseReading();
  void ResumeReading();

  const std::string& received() const { return m_received; }
  bool closed_by_peer() const { return m_closed; }
  // Whether the peer reset the connection.
  bool was_reset() const { return m_reset; }
  // Whether received() starts with a complete answer (Content-Length or chunked).
  bool HasCompleteAnswer() const;
  // Status of the first answer; 0 until its headers have been received.
  int status() const;
  // Value of a header of the first answer; empty if it is absent.
  std::string header(std::string_view name) const;
  // Body of the first answer without chunk framing; empty until it is complete.
  std::string body() const;
  // Discards the received bytes, for the next answer on a keep-alive connection.
  void DiscardAnswer() { m_received.clear(); }

 private:
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  bufferevent* m_bev;
  std::string m_received;
  bool m_closed = false;
  bool m_reset = false;
};

// The value of the header `name` in the bytes of a request; empty if it is absent.
std::string HeaderIn(std::string_view request, std::string_view name);

// Formats an HTTP/1.1 request. A POST request gets a Content-Length header.
std::string MakeRequest(const std::string& method, const std::string& path,
                        const std::string& headers, const std::string& body);

}  // namespace guavatrail
