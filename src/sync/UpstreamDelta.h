#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"
#include "sync/UpstreamList.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// What changed between two lists of upstreams.
struct UpstreamDelta {
    uint64_t fromRevision = 0;
    uint64_t toRevision = 0;
    // New upstreams, and those of which anything changed.
    std::vector<fleet::UpstreamInstance> changed;
    std::vector<base::UpstreamName> removed;
};

UpstreamDelta deltaBetween(const UpstreamList& from, const UpstreamList& to);
// `list` must be the one that the delta goes from.
UpstreamList applyDelta(const UpstreamList& list, const UpstreamDelta&);

} // namespace redwingseam::sync
