#pragma once

#include "origin/OriginSource.h"
#include "origin/StreamOrigin.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::origin {

// The search for where a stream began, in the store and at the other nodes.
struct Lookup {
    base::Instant beganAt {};
    base::Instant lastUsedAt {};
    // Whether a read of the store that began later has ended, without a record of the stream.
    bool isMissingInStore = false;
    // Zero until the other nodes have been asked.
    base::Instant peersAskedAt {};
    std::optional<StreamOrigin> answer;
    OriginSource source = OriginSource::Store;

    // Returns whether no further answer is to be expected.
    bool isExhausted(base::Instant now) const { return isMissingInStore && peersAskedAt != base::Instant {} && now - peersAskedAt >= peerReplyTime; }

    // Several round trips between regions. Only nodes that know the stream reply.
    static constexpr base::Duration peerReplyTime = std::chrono::milliseconds(300);
};

} // namespace redwingseam::origin
