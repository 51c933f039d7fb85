#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::replication {

// A query whose reply has not arrived.
struct PendingQuery {
    base::Instant sentAt;
    // How long the reply is awaited.
    base::Duration timeout;
    bool wantsFullState = false;
    // Whether it only asks whether this node's link works. The node asked may not be the hub.
    bool isLinkCheck = false;
};

} // namespace redwingseam::replication
