#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::node {

// A suspect that waits to be retried alone on an upstream.
struct QueuedSuspect {
    base::RequestId request;
    base::Fingerprint fingerprint;
    base::PoolName pool;
    base::Instant notBefore;
};

} // namespace redwingseam::node
