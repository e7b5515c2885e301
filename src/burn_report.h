// Defines BurnReportHtml, which renders the error-budget burn as an HTML page with plots.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "burn.h"

namespace guavatrail {

// Returns an HTML page with inline SVG plots that loads nothing from the network. It shows the
// budgets by service and kind, the burn rates of the fast and the slow window, the latency
// distributions, and the nodes that could not be read. `objective_of` returns the objective of a
// service, in (0, 1).
std::string BurnReportHtml(const MeshBurn& burn,
                           const std::function<double(std::string_view service)>& objective_of);

}  // namespace guavatrail
