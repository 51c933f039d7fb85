#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::claim {

// A request whose key is claimed by another holder, and which waits for that one's outcome.
struct OutcomeWaiter {
    base::IdempotencyKey key;
    base::RequestId request;
    base::Instant deadline;
};

} // namespace redwingseam::claim
