#pragma once

#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"

namespace redwingseam::report {

// What a VM reports of its service levels.
struct VmReport {
    BurnRateReport burnRates;
    Counters counters;
};

} // namespace redwingseam::report
