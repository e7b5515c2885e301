// Defines RolloutNotice and RolloutReport, the messages about a rollout between the nodes of a
// service, and their encoding.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_codec.h"
#include "rollout_counts.h"
#include "rollout_state.h"

namespace guavatrail {

// From the owner of a rollout.
struct RolloutNotice {
  std::string service;
  RolloutProgress progress;
  // Service time in microseconds above which an answer of a work kind is slow.
  std::map<std::string, int64_t, std::less<>> slow_limits;
};

// The reply.
struct RolloutReport {
  std::string target;                 // Of the rollout that the node knows.
  std::optional<RolloutPhase> phase;  // Known for the target.
  std::string version;                // Of the server beside the node.
  std::string run;                    // Identifies the run of the server to which `work` belongs.
  int in_service = 0;                 // Requests that run on the server.
  WorkCounts work;                    // Since the start of the rollout or of the run.
};

std::string EncodeNotice(const RolloutNotice& notice);
std::string EncodeReport(const RolloutReport& report);
// Fail if the bytes are no such message or a field is out of range.
tl::expected<RolloutNotice, CodecError> DecodeNotice(std::string_view bytes);
tl::expected<RolloutReport, CodecError> DecodeReport(std::string_view bytes);

}  // namespace guavatrail
