#pragma once

#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"
#include "report/VmReport.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::report {

// Returns a VM's report as JSON text, as served by its admin port.
std::string formatVmReport(const BurnRateReport&, const Counters&);

// Parses the text of formatVmReport. Returns std::nullopt if it is malformed.
std::optional<VmReport> parseVmReport(std::string_view json);

} // namespace redwingseam::report
