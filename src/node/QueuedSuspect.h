#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::node {

// A suspect that waits for its turn to be tried on an upstream of its own.
struct QueuedSuspect {
    base::RequestId request;
    base::Fingerprint fingerprint;
    base::PoolName pool;
    base::Instant notBefore;
};

} // namespace redwingseam::node
