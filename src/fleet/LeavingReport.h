#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::fleet {

// A node's report that an upstream has said that it is leaving, sent to the other nodes through the hubs.
struct LeavingReport {
    base::UpstreamName upstream;
    base::ServiceName service;
    uint64_t incarnation = 0;
};

} // namespace redwingseam::fleet
