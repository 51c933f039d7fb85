#pragma once

#include "fleet/LoadMap.h"
#include "sync/NodeRecord.h"

#include <cstdint>

namespace redwingseam::replication {

// A node asks another what it knows, and tells what it has booked itself (a hub asking the hub of another
// data centre: what its data centre has booked).
struct StateQuery {
    // Chosen by the sender, returned in the reply.
    uint64_t sequence = 0;
    sync::NodeRecord from;
    // What the sender holds.
    uint64_t manifestVersion = 0;
    uint64_t listRevision = 0;
    fleet::LoadMap loads;
    // Whether the reply is to hold the manifest and the list where they are newer.
    bool wantsState = true;
    // Nodes that the sender knows.
    uint64_t nodeCount = 0;
};

} // namespace redwingseam::replication
