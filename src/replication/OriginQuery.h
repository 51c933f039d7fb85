#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// Asks the other nodes where streams began, by the client attempts that began them, or how new their lists of upstreams are.
// A node that doesn't know a stream replies only if it knows all that it began since its earlier process ended.
struct OriginQuery {
    sync::NodeRecord from;
    std::vector<base::ClientAttemptId> attempts;
    // The number of the sender's ListCheck, which is returned in the reply; 0 for none.
    uint64_t listCheck = 0;
};

} // namespace redwingseam::replication
