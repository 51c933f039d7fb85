#pragma once

#include "redwingseam/base/Instant.h"
#include "sync/NodeRecord.h"

namespace redwingseam::replication {

// A known node that is not live.
struct SilentNode {
    sync::NodeRecord record;
    // Zero if no message from the node has arrived since this process started.
    base::Instant lastMessageAt {};
};

} // namespace redwingseam::replication
