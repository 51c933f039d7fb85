#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::replication {

// A query whose reply has not arrived.
struct PendingQuery {
    base::Instant sentAt;
    // How long the reply is awaited.
    base::Duration timeout;
    bool wantsFullState = false;
};

} // namespace redwingseam::replication
