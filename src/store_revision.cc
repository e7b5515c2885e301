#include "store_revision.h"

#include <string>

namespace guavatrail {

void SetRevision(HeaderList& headers, const RevisionHeaders& names, const StoreRevision& revision) {
  SetHeader(headers, names.number, std::to_string(revision.number));
  SetHeader(headers, names.era, std::to_string(revision.era));
}

StoreRevision RevisionIn(const HeaderList& headers, const RevisionHeaders& names,
                         const StoreRevision& own) {
  StoreRevision revision{static_cast<uint64_t>(HeaderNumber(headers, names.number)),
                         static_cast<uint64_t>(HeaderNumber(headers, names.era))};
  if (revision.era == 0) revision.era = own.era;
  return revision;
}

}  // namespace guavatrail
