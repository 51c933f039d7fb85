#pragma once

#include "origin/ResolutionKind.h"
#include "origin/StreamOrigin.h"

namespace redwingseam::origin {

// The answer to where a stream began. `origin` is set only if it is known.
struct Resolution {
    ResolutionKind kind = ResolutionKind::Unknown;
    StreamOrigin origin {};
};

} // namespace redwingseam::origin
