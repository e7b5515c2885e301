// Defines helpers for tests of member records.
#pragma once

#include <cstdint>
#include <string>

#include "control.pb.h"

namespace guavatrail::test {

// Creates a valid record.
pb::MemberRecord MakeMember(const std::string& name, uint64_t incarnation,
                            pb::MemberStateCode state = pb::MEMBER_ALIVE);

}  // namespace guavatrail::test
