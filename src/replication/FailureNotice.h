#pragma once

#include "fleet/SuspicionNews.h"
#include "forward/CrashEvent.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// Upstreams that a node took for down, and requests that upstreams broke under. A hub passes them on.
struct FailureNotice {
    sync::NodeRecord from;
    std::vector<fleet::SuspicionNews> suspicions;
    std::vector<forward::CrashEvent> crashes;

    bool isEmpty() const { return suspicions.empty() && crashes.empty(); }
};

} // namespace redwingseam::replication
