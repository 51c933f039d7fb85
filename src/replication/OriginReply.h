#pragma once

#include "origin/StreamRecord.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::replication {

// The reply to an OriginQuery, with the streams that the sender knows.
struct OriginReply {
    sync::NodeRecord from;
    std::vector<origin::StreamRecord> streams;
};

} // namespace redwingseam::replication
