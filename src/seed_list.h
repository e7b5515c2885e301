// Defines the format of the seed list, a platform object with the contact addresses of a data
// centre for starting nodes.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

inline constexpr size_t kMaxSeeds = 5;
inline constexpr char kSeedPrefix[] = "seeds/";

// The key of a data centre's seed list: "seeds/<data centre>".
std::string SeedKey(std::string_view data_centre);

// The value is JSON: {"addresses": ["IP:PORT", ...]}. A malformed value decodes as an empty list,
// which the next update replaces; at most kMaxSeeds addresses are read.
std::string EncodeSeeds(const std::vector<std::string>& addresses);
std::vector<std::string> DecodeSeeds(std::string_view value);

// The list with `own` added, in place of a dead entry or at the end when there is room; nullopt
// when `own` is already listed or there is neither room nor a dead entry. Entries that are not dead
// are never removed.
std::optional<std::vector<std::string>> AddSeed(
    const std::vector<std::string>& current, const std::string& own,
    const std::function<bool(const std::string&)>& is_dead);

}  // namespace guavatrail
