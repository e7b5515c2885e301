// Defines the encoding of quota reports and replies for transmission between nodes.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_codec.h"
#include "quota_report.h"

namespace guavatrail {

std::string EncodeQuotaReport(const QuotaReport& report);
std::string EncodeQuotaReply(const QuotaReply& reply);
// Fail if the bytes are no such message, or if a value is not one that a node can have produced.
tl::expected<QuotaReport, CodecError> DecodeQuotaReport(std::string_view bytes);
tl::expected<QuotaReply, CodecError> DecodeQuotaReply(std::string_view bytes);

}  // namespace guavatrail
