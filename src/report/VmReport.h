#pragma once

#include "redwingseam/report/BurnReport.h"
#include "redwingseam/report/Counters.h"

namespace redwingseam::report {

// What a VM reports of its service levels.
struct VmReport {
    BurnReport burn;
    Counters counters;
};

} // namespace redwingseam::report
