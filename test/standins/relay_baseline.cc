// A minimal HTTP relay that forwards every request to one fixed address over persistent
// connections. Two in series are the baseline for the latency that two nodes add to a call.
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>
#include <strings.h>
#include <tclap/CmdLine.h>

#include <array>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"

namespace guavatrail {
namespace {

struct Options {
  std::string ip;
  uint16_t port = 0;
  std::string upstream_ip;
  uint16_t upstream_port = 0;
};

bool IsHopByHop(const char* name) {
  constexpr std::array<const char*, 4> kNames = {"Connection", "Keep-Alive", "Transfer-Encoding",
                                                 "Content-Length"};
  for (const char* hop : kNames) {
    if (strcasecmp(name, hop) == 0) return true;
  }
  return false;
}

void CopyHeaders(const evkeyvalq* from, evkeyvalq* to) {
  for (const evkeyval* header = from->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    if (!IsHopByHop(header->key)) evhttp_add_header(to, header->key, header->value);
  }
}

class Relay {
 public:
  explicit Relay(Options options) : m_options(std::move(options)) {}

  ~Relay() {
    for (evhttp_connection* connection : m_idle) evhttp_connection_free(connection);
    if (m_server != nullptr) evhttp_free(m_server);
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  bool Listen() {
    m_server = evhttp_new(m_loop.base());
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                             EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* request, void* arg) { static_cast<Relay*>(arg)->Forward(request); },
        this);
    return evhttp_bind_socket(m_server, m_options.ip.c_str(), m_options.port) == 0;
  }

  void Run() {
    m_loop.OnSignal(SIGTERM, [this] { m_loop.Stop(); });
    m_loop.OnSignal(SIGINT, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

 private:
  struct Exchange {
    Relay* relay;
    evhttp_request* from_caller;
    evhttp_connection* upstream;
  };

  void Forward(evhttp_request* from_caller) {
    evhttp_connection* upstream = nullptr;
    if (m_idle.empty()) {
      upstream = evhttp_connection_base_new(m_loop.base(), nullptr, m_options.upstream_ip.c_str(),
                                            m_options.upstream_port);
    } else {
      upstream = m_idle.back();
      m_idle.pop_back();
    }
    auto* exchange = new Exchange{this, from_caller, upstream};
    evhttp_request* request = evhttp_request_new(&Relay::OnAnswer, exchange);
    CopyHeaders(evhttp_request_get_input_headers(from_caller),
                evhttp_request_get_output_headers(request));
    evbuffer_add_buffer(evhttp_request_get_output_buffer(request),
                        evhttp_request_get_input_buffer(from_caller));
    evhttp_make_request(upstream, request, evhttp_request_get_command(from_caller),
                        evhttp_request_get_uri(from_caller));
  }

  static void OnAnswer(evhttp_request* answer, void* arg) {
    std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(arg));
    exchange->relay->m_idle.push_back(exchange->upstream);
    evhttp_request* from_caller = exchange->from_caller;
    int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (status == 0) {
      evhttp_send_error(from_caller, 502, nullptr);
      return;
    }
    CopyHeaders(evhttp_request_get_input_headers(answer),
                evhttp_request_get_output_headers(from_caller));
    evhttp_send_reply(from_caller, status, evhttp_request_get_response_code_line(answer),
                      evhttp_request_get_input_buffer(answer));
  }

  Options m_options;
  EventLoop m_loop;
  evhttp* m_server = nullptr;
  std::vector<evhttp_connection*> m_idle;
};

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine cmd("Forwards every request to one address.", ' ', "0.1");
  TCLAP::ValueArg<std::string> ip("", "ip", "address to listen on", false, "127.0.0.1", "IP", cmd);
  TCLAP::ValueArg<uint16_t> port("", "port", "port to listen on", true, 0, "PORT", cmd);
  TCLAP::ValueArg<std::string> upstream_ip("", "upstream-ip", "address to forward to", false,
                                           "127.0.0.1", "IP", cmd);
  TCLAP::ValueArg<uint16_t> upstream_port("", "upstream-port", "port to forward to", true, 0,
                                          "PORT", cmd);
  cmd.parse(argc, argv);
  Relay relay({ip.getValue(), port.getValue(), upstream_ip.getValue(), upstream_port.getValue()});
  if (!relay.Listen()) {
    std::cerr << "relay_baseline: cannot listen on " << ip.getValue() << ':' << port.getValue()
              << '\n';
    return 1;
  }
  relay.Run();
  return 0;
}

}  // namespace
}  // namespace guavatrail

int main(int argc, char** argv) { return guavatrail::Main(argc, argv); }
