#pragma once

#include "base/TokenCount.h"
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
    base::TokenCount cost = 1;
    // The client's weight in fair queueing: a client of twice the weight gets twice the share of its rank.
    int64_t weight = 100;
    base::Instant deadline;
    // Whether this is a later attempt, a hedge, or a stream that the caller resumes. Precedes new work of its
    // rank and does not expire.
    bool isResume = false;
    // Whether the work was preempted by urgent work, so that it must not take a slot back before its rank's
    // turn.
    bool isPreempted = false;
    // Whether this node has not sent the request to an upstream yet.
    bool isFirstDispatch = false;
    // Whether the request was in flight when an upstream crashed, so that it must not share an upstream with
    // another suspect.
    bool isSuspect = false;
    // Whether the work is dispatched ahead of waiting work of a higher rank, because the floor of its own rank
    // was due.
    bool isFloorGrant = false;
    // Upstream at which the previous attempt failed; selected again only if there is no other.
    base::UpstreamName avoidedUpstream;
    // Hashes of prefixes of the prompt, shortest first, for prefix cache lookups.
    std::vector<uint64_t> prefixHashes;
};

} // namespace redwingseam::schedule
