#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::claim {

// A request whose key is claimed by another holder and that waits for that holder's outcome.
struct OutcomeWaiter {
    base::IdempotencyKey key;
    base::RequestId request;
    base::Instant deadline;
};

} // namespace redwingseam::claim
