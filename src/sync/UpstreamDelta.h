#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"
#include "sync/UpstreamList.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// The difference between two lists of upstreams.
struct UpstreamDelta {
    uint64_t fromRevision = 0;
    uint64_t toRevision = 0;
    // Upstreams that were added or modified.
    std::vector<fleet::UpstreamInstance> changed;
    std::vector<base::UpstreamName> removed;
};

UpstreamDelta deltaBetween(const UpstreamList& from, const UpstreamList& to);
// `list` must have the revision `fromRevision` of the delta.
UpstreamList applyDelta(const UpstreamList& list, const UpstreamDelta&);

} // namespace redwingseam::sync
