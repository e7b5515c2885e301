#include "descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace guavatrail {

namespace {

// Each call of a caller may need a connection to another node, so callers get as many descriptors
// as remain for connections to nodes, the backend server and the platform.
constexpr double kCallerShare = 0.375;
constexpr double kPeerShare = 0.25;
// Used if the limit of the process is unlimited or cannot be read.
constexpr int64_t kDefaultDescriptors = 65'536;

int64_t ProcessLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kDefaultDescriptors;
  return static_cast<int64_t>(std::min<rlim_t>(limit.rlim_cur, kDefaultDescriptors));
}

size_t ShareOf(int64_t descriptors, double share) {
  return static_cast<size_t>(std::max(1.0, static_cast<double>(descriptors) * share));
}

}  // namespace

DescriptorBudget MakeDescriptorBudget(int64_t max_descriptors) {
  int64_t descriptors = ProcessLimit();
  if (max_descriptors > 0) descriptors = std::min(descriptors, max_descriptors);
  return {ShareOf(descriptors, kCallerShare), ShareOf(descriptors, kPeerShare)};
}

}  // namespace guavatrail
