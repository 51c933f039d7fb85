#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"

#include <cstdint>
#include <vector>

namespace redwingseam::schedule {

// Work that waits for an upstream's slot.
struct QueuedWork {
    base::RequestId request;
    base::Fingerprint fingerprint;
    base::ClientName client;
    base::Rank rank = base::Rank::Standard;
    // Expected cost in token equivalents: prefill plus decode still to be done.
    uint64_t cost = 1;
    int64_t weight = 100;
    base::Instant deadline;
    // A stream that a caller has already seen the beginning of; goes before new work of its rank.
    bool isResume = false;
    // Gave way to urgent work, so it must not take a slot back outside its rank's turn.
    bool isPreempted = false;
    // Has not been sent to an upstream by this node yet.
    bool isFirstDispatch = false;
    // Was in flight when an upstream died; must not share an upstream with another suspect.
    bool isSuspect = false;
    // Given out ahead of a higher rank, because its own rank's floor was due.
    bool isFloorGrant = false;
    // Upstream that lost this work last; chosen again only if there is no other.
    base::UpstreamName avoidedUpstream;
    // Hashes of growing prefixes of the prompt, shortest first.
    std::vector<uint64_t> prefixHashes;
};

} // namespace redwingseam::schedule
