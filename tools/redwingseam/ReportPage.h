#pragma once

#include "report/ReportCodec.h"

#include <string>
#include <vector>

namespace redwingseam::cli {

// A page in HTML with a bar for each burn rate, which needs nothing from the network.
std::string formatReportPage(const report::VmReport& total, size_t vms, const std::vector<std::string>& missing);

} // namespace redwingseam::cli
