#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"
#include "sync/UpstreamList.h"

#include <vector>

namespace redwingseam::sync {

// The difference between two lists of upstreams.
struct UpstreamDelta {
    StoreVersion from;
    StoreVersion to;
    // Upstreams that were added or modified.
    std::vector<fleet::UpstreamInstance> changed;
    std::vector<base::UpstreamName> removed;
};

UpstreamDelta deltaBetween(const UpstreamList& from, const UpstreamList& to);
// `list` must have the version `from` of the delta.
UpstreamList applyDelta(const UpstreamList& list, const UpstreamDelta&);

} // namespace redwingseam::sync
