#pragma once

#include "claim/ClaimTicket.h"
#include "claim/ClaimWaiter.h"

namespace redwingseam::claim {

// A record has taken its place in the log; `inForce` is what the log now says of its key.
struct ClaimNotice {
    ClaimTicket ticket;
    ClaimRecord inForce;
    ClaimWaiter waiter;
};

} // namespace redwingseam::claim
