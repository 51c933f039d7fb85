#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/settings/ResolvedValue.h"
#include "redwingseam/settings/Scope.h"
#include "redwingseam/settings/Tree.h"

#include <cstdint>

namespace redwingseam::settings {

// Settings in force for one request, resolved once when it arrives.
struct RequestSettings {
    base::Rank rank = base::Rank::Standard;
    // Share of the client relative to others of the same rank.
    int64_t weight = 0;
    base::Duration deadline {};
    size_t queueLimit = 0;
    uint32_t maxTokens = 0;
    bool preemptsDeferrable = true;
    base::Duration suspicionFloor {};
    base::Duration suspicionCeiling {};
    // Multiple of the mean token gap in the suspicion timeout.
    int64_t suspicionGapFactor = 0;
    base::Duration firstTokenSuspicion {};
    uint32_t resumeLimit = 0;
    int64_t retryBudgetPermille = 0;
    base::Duration firstTokenTarget {};
    base::Duration betweenTokensTarget {};
    base::Duration resumeTarget {};
    int64_t objectivePermille = 0;
    bool isIdempotent = true;
    bool upstreamDeduplicates = false;
};

// Returns the value of one field for a scope, with the branch that sets it.
ResolvedValue resolveField(const Tree&, const Scope&, Field);

// Returns the values of a request's settings for a scope. Excludes the floors of ranks, which apply to
// all requests of a VM, and `upstream_checks_fencing`, which no code reads yet.
RequestSettings resolveRequestSettings(const Tree&, const Scope&);

} // namespace redwingseam::settings
