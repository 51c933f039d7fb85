#pragma once

#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// Asks the other nodes where streams began, by the client attempts that began them. Only nodes that know one reply.
struct OriginQuery {
    sync::NodeRecord from;
    std::vector<base::ClientAttemptId> attempts;
};

} // namespace redwingseam::replication
