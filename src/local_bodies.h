// Defines LocalBodies, through which a node hands a large body to itself without a copy when it is
// both the entry node and the serving node of a request.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace guavatrail {

using SharedBody = std::shared_ptr<const std::string>;

class LocalBodies {
 public:
  // Smaller bodies are sent like those to other nodes.
  static constexpr size_t kMinBytes = 65'536;

  // Returns a token for `body`, which no other process can guess. It is valid for one use, while
  // the sender holds the body.
  std::string Offer(const SharedBody& body);
  // Null if the token is not valid.
  SharedBody Take(std::string_view token);

 private:
  std::map<std::string, std::weak_ptr<const std::string>, std::less<>> m_bodies;
};

}  // namespace guavatrail
