#pragma once

#include "origin/Disclaimer.h"
#include "origin/OriginSource.h"
#include "origin/StreamOrigin.h"
#include "redwingseam/base/Instant.h"

#include <optional>
#include <vector>

namespace redwingseam::origin {

// The search for where a stream began, in the store and at the other nodes.
struct Lookup {
    base::Instant beganAt {};
    base::Instant lastUsedAt {};
    // Whether a read of the store that began later has ended, without a record of the stream.
    bool isMissingInStore = false;
    // Zero until the other nodes have been asked.
    base::Instant peersAskedAt {};
    // The nodes that have been asked; nothing unless they are all that are known.
    std::optional<std::vector<base::VmName>> askedNodes;
    std::vector<Disclaimer> disclaimers;
    std::optional<StreamOrigin> answer;
    OriginSource source = OriginSource::Store;

    // Returns whether no further answer is to be expected.
    bool isExhausted(base::Instant now) const { return isMissingInStore && peersAskedAt != base::Instant {} && now - peersAskedAt >= peerReplyTime; }

    // Several round trips between regions. A node that doesn't reply is gone, or of the release before and doesn't know the stream.
    static constexpr base::Duration peerReplyTime = std::chrono::milliseconds(300);
};

} // namespace redwingseam::origin
