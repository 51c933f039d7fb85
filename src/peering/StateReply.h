#pragma once

#include "fleet/LoadMap.h"
#include "forward/QuarantinedRequest.h"
#include "redwingseam/base/Instant.h"
#include "sync/NodeRecord.h"
#include "sync/UpstreamDelta.h"
#include "sync/UpstreamList.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::peering {

// Answer to a StateQuery. Ages are as of the moment of the answer.
struct StateReply {
    uint64_t sequence = 0;
    sync::NodeRecord from;
    uint64_t manifestVersion = 0;
    base::Duration manifestAge {};
    // Only if it is newer than what the asking node holds.
    std::string manifestText;
    uint64_t listRevision = 0;
    base::Duration listAge {};
    base::Duration missingGrace {};
    // Only if it is newer than what the asking node holds, and `changes` cannot be told.
    std::optional<sync::UpstreamList> list;
    // What changed since the list that the asking node holds; null if it holds the newest.
    std::shared_ptr<const sync::UpstreamDelta> changes;
    // What all others have booked; only within a data centre.
    fleet::LoadMap loads;
    // Only if the asking node knows fewer.
    std::vector<sync::NodeRecord> nodes;
    // For nodes that missed the news of their crashes.
    std::vector<forward::QuarantinedRequest> quarantined;
};

} // namespace redwingseam::peering
