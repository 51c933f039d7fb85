#pragma once

#include "sync/UpstreamList.h"

#include <vector>

namespace redwingseam::sync {

// The result of reading the store's list of upstreams.
struct UpstreamListRead {
    UpstreamList list;
    // Names of the entries that do not describe an upstream; empty for one whose name cannot be read.
    std::vector<base::UpstreamName> skipped;
};

} // namespace redwingseam::sync
