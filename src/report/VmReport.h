#pragma once

#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"

namespace redwingseam::report {

// Burn rates and counters that a VM reports.
struct VmReport {
    BurnRateReport burnRates;
    Counters counters;
};

} // namespace redwingseam::report
