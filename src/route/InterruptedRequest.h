#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::route {

// A request of this node that was in flight at an upstream when the upstream crashed. CrashAttribution turns
// it into a CrashCandidate.
struct InterruptedRequest {
    base::Fingerprint fingerprint;
    // Whether this attempt got further than the attempt before it.
    bool madeProgress = false;
    // Whether any attempt has ever produced a token.
    bool hasTokens = false;
};

} // namespace redwingseam::route
