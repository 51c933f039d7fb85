#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Summary of a node for operators.
struct NodeStatus {
    base::VmName vm;
    base::DataCentreName dataCentre;
    // Highest version of any settings branch in force on this node.
    base::ObjectVersion settingsVersion;
    size_t branches = 0;
    size_t requests = 0;
    size_t queued = 0;
    size_t upstreamsLive = 0;
    size_t upstreamsDown = 0;
    size_t vmsLive = 0;
    size_t claimsPending = 0;
    size_t gossipEntries = 0;
    bool isDraining = false;
    // False once calls to the platform's store have gone unanswered for 10 s.
    bool isPlatformReachable = true;
    std::vector<base::DataCentreName> dataCentresSeen;
};

} // namespace redwingseam::node
