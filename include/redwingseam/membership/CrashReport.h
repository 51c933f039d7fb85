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
    // Without quarantine: whether the request was a suspect already and had made no progress since.
    bool wasSuspect = false;
    // Without quarantine: whether any attempt has produced tokens.
    bool hasTokens = false;
    // The one crash that is reported or, with quarantine, the crashes that are attributed to the request.
    std::vector<route::CrashId> crashes;

    auto operator<=>(const CrashReport&) const = default;
};

} // namespace redwingseam::membership
