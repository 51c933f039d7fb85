#pragma once

#include "claim/ClaimLog.h"
#include "claim/ClaimTicket.h"
#include "claim/ClaimWaiter.h"
#include "claim/RelayedRecord.h"
#include "redwingseam/base/Instant.h"

#include <map>

namespace redwingseam::claim {

// One claim log with those who wait for its records, and the pacing of its calls.
struct ClaimGroup {
    ClaimLog log;
    std::map<ClaimTicket, ClaimWaiter> waiters;
    std::map<ClaimTicket, RelayedRecord> relayed;
    base::Instant notBefore;
    uint32_t failures = 0;
    uint64_t checkpointedAt = 0;
    base::ObjectVersion checkpointVersion;
};

} // namespace redwingseam::claim
