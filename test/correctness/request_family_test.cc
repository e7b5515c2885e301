// Guards against a request that crashes servers and is not recognized when it comes again with
// another cookie or query, and against requests of other callers that are taken for it.
#include <gtest/gtest.h>

#include "fake_server.h"
#include "http_listener.h"
#include "request_fingerprint.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

class RequestFamily : public testing::Test {
 protected:
  RequestFamily() { EXPECT_TRUE(m_listener.Listen("127.0.0.1", 0)); }

  std::string FamilyOf(const std::string& request_line, const std::string& headers,
                       const std::string& body = "", const std::string& workspace = "") {
    m_family.clear();
    m_workspace = workspace;
    FakeClient client(m_loop, m_listener.port());
    client.Send(request_line + " HTTP/1.1\r\n" + headers +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(RunUntil(m_loop, [&] { return !m_family.empty(); }));
    return m_family;
  }

  EventLoop m_loop;
  std::string m_workspace;
  std::string m_family;
  HttpListener m_listener{m_loop, [this](std::unique_ptr<DownstreamRequest> request) {
                            m_family = FamilyFingerprintOf(*request, m_workspace);
                          }};
};

TEST_F(RequestFamily, DoesNotDependOnCookieQueryAndPort) {
  std::string family = FamilyOf("GET /pecas/1", "Host: loja.example\r\n");
  EXPECT_EQ(family, FamilyOf("GET /pecas/1", "Host: loja.example\r\nCookie: s=1\r\n"));
  EXPECT_EQ(family, FamilyOf("GET /pecas/1?_=2", "Host: loja.example:80\r\nCookie: s=2\r\n"));
}

TEST_F(RequestFamily, DependsOnPathCallerAndBody) {
  const std::string host = "Host: loja.example\r\n";
  std::string family = FamilyOf("POST /pecas/1", host, "a");
  EXPECT_NE(family, FamilyOf("PUT /pecas/1", host, "a"));
  EXPECT_NE(family, FamilyOf("POST /pecas/2", host, "a"));
  EXPECT_NE(family, FamilyOf("POST /pecas/1", "Host: oficina.example\r\n", "a"));
  EXPECT_NE(family, FamilyOf("POST /pecas/1", host + "Authorization: Bearer t\r\n", "a"));
  EXPECT_NE(family, FamilyOf("POST /pecas/1", host, "b"));
  EXPECT_NE(family, FamilyOf("POST /pecas/1", host, "a", "loja"));
}

}  // namespace
}  // namespace guavatrail
