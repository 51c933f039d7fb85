#pragma once

#include "forward/PartClearance.h"
#include "forward/PartCrash.h"
#include "forward/PartTrial.h"

#include <vector>

namespace redwingseam::forward {

// What nodes tell each other about prompt parts.
struct PartReports {
    std::vector<PartCrash> crashes;
    std::vector<PartClearance> clearances;
    std::vector<PartTrial> trials;

    bool isEmpty() const { return crashes.empty() && clearances.empty() && trials.empty(); }
};

} // namespace redwingseam::forward
