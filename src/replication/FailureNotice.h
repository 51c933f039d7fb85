#pragma once

#include "fleet/SuspicionReport.h"
#include "forward/CrashReport.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// Reports upstreams that a node suspects to be down and requests during which upstreams crashed. Hubs forward it.
struct FailureNotice {
    sync::NodeRecord from;
    std::vector<fleet::SuspicionReport> suspicions;
    std::vector<forward::CrashReport> crashes;

    bool isEmpty() const { return suspicions.empty() && crashes.empty(); }
};

} // namespace redwingseam::replication
