#pragma once

#include "redwingseam/base/Ids.h"
#include "route/Verdict.h"

namespace redwingseam::route {

// A fingerprint whose verdict changed.
struct VerdictChange {
    base::Fingerprint fingerprint;
    Verdict verdict = Verdict::Clear;
};

} // namespace redwingseam::route
