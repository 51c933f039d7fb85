#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::fleet {

// What an upstream itself has said against new work in its responses. Unlike a suspicion it is no guess, so neither
// contact nor a success ends it.
struct WorkRefusal {
    // The upstream is leaving and takes no new work until it starts again.
    bool isLeaving = false;
    // Until when the upstream wants no request from this node.
    base::Instant deferredUntil {};

    bool isDeferred(base::Instant now) const { return now < deferredUntil; }
};

} // namespace redwingseam::fleet
