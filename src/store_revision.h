// Defines StoreRevision, a revision of the platform's store, and how nodes exchange it.
#pragma once

#include <cstdint>
#include <string_view>
#include <tuple>

#include "http_headers.h"

namespace guavatrail {

// When the store comes back from an older copy, it loses its latest revisions and gives their
// numbers out again, in a new era. Numbers of different eras must not be compared.
struct StoreRevision {
  uint64_t number = 0;  // 0: none.
  uint64_t era = 0;     // 0: the store has not stated one.
  bool operator==(const StoreRevision&) const = default;
  bool operator<(const StoreRevision& other) const {
    return std::tie(era, number) < std::tie(other.era, other.number);
  }
};

// Names of the two headers that carry a revision.
struct RevisionHeaders {
  std::string_view number;
  std::string_view era;
};

void SetRevision(HeaderList& headers, const RevisionHeaders& names, const StoreRevision& revision);
// The revision that the sender of `headers` knows. A sender that states no era runs a build without
// eras and is taken to be in the era of `own`.
StoreRevision RevisionIn(const HeaderList& headers, const RevisionHeaders& names,
                         const StoreRevision& own);

}  // namespace guavatrail
