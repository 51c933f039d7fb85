#pragma once

#include "fleet/LeavingReport.h"
#include "fleet/SuspicionReport.h"
#include "forward/CrashReport.h"
#include "forward/PartReports.h"
#include "forward/RequestClearance.h"
#include "forward/RequestTrial.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// Reports upstreams that a node suspects to be down or that are leaving, and requests and prompt parts during which upstreams
// crashed. Hubs forward it.
struct FailureNotice {
    sync::NodeRecord from;
    std::vector<fleet::SuspicionReport> suspicions;
    std::vector<forward::CrashReport> crashes;
    forward::PartReports parts;
    std::vector<forward::RequestClearance> clearances;
    std::vector<forward::RequestTrial> trials;
    std::vector<fleet::LeavingReport> leaving;

    bool isEmpty() const { return suspicions.empty() && crashes.empty() && parts.isEmpty() && clearances.empty() && trials.empty() && leaving.empty(); }
};

} // namespace redwingseam::replication
