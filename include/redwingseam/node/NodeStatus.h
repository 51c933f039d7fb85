#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Summary of a node for operators. Everything counted is counted as this node sees it.
struct NodeStatus {
    base::VmName vm;
    base::DataCentreName dataCentre;
    // Highest version of any settings branch in force on this node.
    base::ObjectVersion settingsVersion;
    size_t branches = 0;
    // Requests of this node that have not ended, including calls that continue after their caller was answered
    // with OutcomeUnknown or disconnected.
    size_t requests = 0;
    // Queued work, including hedges and resumed streams. Suspects that wait to be retried are not counted.
    size_t queued = 0;
    // Upstreams that take new work.
    size_t upstreamsLive = 0;
    // All other upstreams: those marked down and those with state Leaving or Gone.
    size_t upstreamsDown = 0;
    size_t vmsLive = 0;
    // Claim records that are not known to be in the claim log yet.
    size_t claimsPending = 0;
    size_t gossipEntries = 0;
    bool isDraining = false;
    // False once calls to the platform's store have gone unanswered for 10 s.
    bool isPlatformReachable = true;
    // Other data centres with at least one live VM.
    std::vector<base::DataCentreName> dataCentresSeen;
};

} // namespace redwingseam::node
