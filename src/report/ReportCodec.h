#pragma once

#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"
#include "report/VmReport.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::report {

// JSON text of a VM's report, as served by its admin port.
std::string formatVmReport(const BurnRateReport&, const Counters&);

// Reads it back. Nothing for text of another form.
std::optional<VmReport> parseVmReport(std::string_view json);

} // namespace redwingseam::report
