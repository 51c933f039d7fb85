#pragma once

#include "redwingseam/base/Ids.h"

#include <compare>

namespace redwingseam::membership {

// A request that is suspected or convicted of killing upstreams.
struct VerdictRecord {
    base::Fingerprint fingerprint;
    bool isConvicted = false;
    // Upstream whose death raised the suspicion.
    base::UpstreamName upstream;

    auto operator<=>(const VerdictRecord&) const = default;
};

} // namespace redwingseam::membership
