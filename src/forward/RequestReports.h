#pragma once

#include "forward/CrashReport.h"
#include "forward/RequestClearance.h"
#include "forward/RequestTrial.h"

#include <vector>

namespace redwingseam::forward {

// What nodes tell each other about requests during which upstreams crashed.
struct RequestReports {
    std::vector<CrashReport> crashes;
    std::vector<RequestClearance> clearances;
    std::vector<RequestTrial> trials;
};

} // namespace redwingseam::forward
