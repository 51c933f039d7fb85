#pragma once

#include "origin/StreamRecord.h"
#include "sync/NodeRecord.h"
#include "sync/StoreVersion.h"

#include <vector>

namespace redwingseam::replication {

// The reply to an OriginQuery, with the streams that the sender knows.
struct OriginReply {
    sync::NodeRecord from;
    std::vector<origin::StreamRecord> streams;
    // The ListCheck of the query; 0 for none, as from nodes of the release before.
    uint64_t listCheck = 0;
    // The version of the list of upstreams that the sender holds.
    sync::StoreVersion listVersion;
    // Whether the sender reads the store for the others, and has done so since it took this over.
    bool isReader = false;
    // The attempts that the sender doesn't know, and the version of the list since which it knows all that it began.
    std::vector<base::ClientAttemptId> unknown {};
    sync::StoreVersion keptSince {};
};

} // namespace redwingseam::replication
