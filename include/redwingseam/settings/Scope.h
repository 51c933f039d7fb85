#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::settings {

// What a request is judged by. Branches under /clients go before those under /work, those before
// /regions, and the root comes last.
struct Scope {
    base::ClientName client;
    base::WorkName work;
    base::RegionName region;
};

} // namespace redwingseam::settings
