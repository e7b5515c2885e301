// Defines the burn report, an HTML page of the service-level burn with plots.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "burn.h"

namespace guavatrail {

// An HTML page with inline SVG plots that needs no network: budgets by service and kind, burn rates
// of the fast and the slow window, latency distributions, and the nodes that could not be read.
// `objective_of` gives the objective of a service, in (0, 1).
std::string BurnReportHtml(const MeshBurn& burn,
                           const std::function<double(std::string_view service)>& objective_of);

}  // namespace guavatrail
