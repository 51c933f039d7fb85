#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::settings {

// Attributes of a request that select its settings. Branches under /clients take precedence over those
// under /work, which take precedence over those under /regions. The root comes last.
struct Scope {
    base::ClientName client;
    base::WorkName work;
    base::RegionName region;
};

} // namespace redwingseam::settings
