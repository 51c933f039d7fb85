#pragma once

#include "redwingseam/base/Ids.h"
#include "sync/StoreVersion.h"

namespace redwingseam::origin {

// A node's statement that it doesn't know a stream, so that none of its streams since `keptSince` is this one. A plain value.
struct Disclaimer {
    base::VmName node;
    // The version of the list of upstreams at or before which the node's earlier process ended.
    sync::StoreVersion keptSince;
};

} // namespace redwingseam::origin
