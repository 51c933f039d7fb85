#pragma once

#include "claim/ClaimLog.h"
#include "claim/ClaimRecordId.h"
#include "claim/ClaimWaiter.h"
#include "claim/LogMark.h"
#include "claim/OutcomeWaiter.h"
#include "claim/RelayedRecord.h"
#include "redwingseam/base/Instant.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace redwingseam::claim {

// One claim log with the waiters for its records and the pacing of its calls.
struct ClaimGroup {
    ClaimLog log;
    std::map<ClaimRecordId, ClaimWaiter> waiters;
    std::map<ClaimRecordId, RelayedRecord> relayed;
    // Claims whose requests were refused before it was known whether the claims are in the log.
    std::set<ClaimRecordId> withdrawn;
    std::vector<OutcomeWaiter> outcomeWaiters;
    // Oldest first. When a mark is older than the retention time, the keys that have not changed since it are
    // dropped.
    std::deque<LogMark> marks;
    // Earliest time of the next read for the outcome waiters.
    base::Instant nextRefreshAt;
    // Earliest time of the next call, after an append or a failure.
    base::Instant nextCallAt;
    uint32_t consecutiveFailures = 0;
    // Object number of the latest checkpoint that was loaded or returned for storing.
    uint64_t checkpointNumber = 0;
    // Version of the stored checkpoint as far as known.
    base::ObjectVersion checkpointVersion;
};

} // namespace redwingseam::claim
