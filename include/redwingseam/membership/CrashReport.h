#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/CrashId.h"

#include <compare>
#include <vector>

namespace redwingseam::membership {

// Reports a request that was in flight when an upstream crashed, or a request that is quarantined for
// crashing upstreams.
struct CrashReport {
    base::Fingerprint fingerprint;
    bool isQuarantined = false;
    // Only if `isQuarantined` is false: whether the request was in flight at an earlier crash and had made no
    // progress since.
    bool wasSuspect = false;
    // Only if `isQuarantined` is false: whether any attempt has produced tokens.
    bool hasTokens = false;
    // The one crash that is reported or, with quarantine, the crashes that are attributed to the request.
    std::vector<route::CrashId> crashes;

    auto operator<=>(const CrashReport&) const = default;
};

} // namespace redwingseam::membership
