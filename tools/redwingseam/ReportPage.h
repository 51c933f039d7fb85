#pragma once

#include "report/ReportCodec.h"

#include <string>
#include <vector>

namespace redwingseam::cli {

// Returns a self-contained HTML page that loads no external resources, with a bar for each burn rate.
// `missing` holds the addresses of the VMs whose figures are not included.
std::string formatReportPage(const report::VmReport& total, size_t vms, const std::vector<std::string>& missing);

} // namespace redwingseam::cli
