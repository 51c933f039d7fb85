#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"

#include <cstdint>
#include <vector>

namespace redwingseam::schedule {

// Work that waits for a free slot at an upstream.
struct QueuedWork {
    base::RequestId request;
    base::Fingerprint fingerprint;
    base::ClientName client;
    base::Rank rank = base::Rank::Standard;
    // Expected cost in token equivalents: the remaining prefill plus decode.
    uint64_t cost = 1;
    int64_t weight = 100;
    base::Instant deadline;
    // Resumes a stream whose beginning the caller has already received; precedes new work of its rank.
    bool isResume = false;
    // Was preempted by urgent work, so it must not take a slot back before its rank's turn.
    bool isPreempted = false;
    // This node has not sent the request to an upstream yet.
    bool isFirstDispatch = false;
    // Was in flight when an upstream died; must not share an upstream with another suspect.
    bool isSuspect = false;
    // Dispatched ahead of waiting work of a higher rank, because the floor of its own rank was due.
    bool isFloorGrant = false;
    // Upstream at which the previous attempt failed; selected again only if there is no other.
    base::UpstreamName avoidedUpstream;
    // Hashes of prefixes of the prompt, shortest first, for prefix cache lookups.
    std::vector<uint64_t> prefixHashes;
};

} // namespace redwingseam::schedule
