// Defines the platform object in which a data centre keeps contact addresses for nodes that start.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

inline constexpr size_t kMaxSeeds = 5;
inline constexpr char kSeedPrefix[] = "seeds/";

// "seeds/<data centre>".
std::string SeedKey(std::string_view data_centre);

// The object's value is JSON: {"addresses": ["IP:PORT", ...]}. A malformed value decodes as empty
// and is replaced by the next update; at most kMaxSeeds addresses are read.
std::string EncodeSeeds(const std::vector<std::string>& addresses);
std::vector<std::string> DecodeSeeds(std::string_view value);

// The list after adding `own`, which replaces a dead entry or fills a free place; nothing when the
// list needs no change. Entries that are not dead are never removed.
std::optional<std::vector<std::string>> AddSeed(
    const std::vector<std::string>& current, const std::string& own,
    const std::function<bool(const std::string&)>& is_dead);

}  // namespace guavatrail
