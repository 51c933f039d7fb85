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

// One claim log with those who wait for its records, and the pacing of its calls.
struct ClaimGroup {
    ClaimLog log;
    std::map<ClaimRecordId, ClaimWaiter> waiters;
    std::map<ClaimRecordId, RelayedRecord> relayed;
    // Claims whose requests were refused before they were known to be in the log.
    std::set<ClaimRecordId> withdrawn;
    std::vector<OutcomeWaiter> outcomeWaiters;
    // Oldest first; keys that have not changed since the oldest one are forgotten in time.
    std::deque<LogMark> marks;
    base::Instant nextRefresh;
    base::Instant notBefore;
    uint32_t failures = 0;
    uint64_t checkpointedAt = 0;
    base::ObjectVersion checkpointVersion;
};

} // namespace redwingseam::claim
