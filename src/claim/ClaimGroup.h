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
    // Oldest first. Keys that have not changed since a mark are dropped when it is older than the retention.
    std::deque<LogMark> marks;
    base::Instant nextRefreshAt;
    base::Instant nextCallAt;
    uint32_t consecutiveFailures = 0;
    uint64_t checkpointNumber = 0;
    base::ObjectVersion checkpointVersion;
};

} // namespace redwingseam::claim
