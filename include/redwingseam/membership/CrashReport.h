#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/CrashId.h"

#include <compare>
#include <vector>

namespace redwingseam::membership {

// A request that was in flight when an upstream died, or that is convicted of killing upstreams.
struct CrashReport {
    base::Fingerprint fingerprint;
    bool isQuarantined = false;
    // Suspicion: it was under suspicion already, and had got no further since.
    bool wasSuspect = false;
    // Suspicion: some attempt at it had brought tokens.
    bool hasTokens = false;
    // Suspicion: the one death. Conviction: the deaths that it explains.
    std::vector<route::CrashId> crashes;

    auto operator<=>(const CrashReport&) const = default;
};

} // namespace redwingseam::membership
