#pragma once

#include "fleet/Suspicion.h"
#include "fleet/UpstreamLoad.h"
#include "redwingseam/fleet/UpstreamInstance.h"

namespace redwingseam::fleet {

// An upstream and what the node knows of it.
struct PoolEntry {
    UpstreamInstance instance;
    // Booked by this node.
    UpstreamLoad localLoad;
    // Booked by the other nodes, as they last told.
    UpstreamLoad remoteLoad;
    Suspicion suspicion;
    // When any request last got bytes of it.
    base::Instant heardAt {};
    bool isListed = true;
    // While it is missing from the list: until when it is used nevertheless.
    base::Instant graceEndsAt {};
    // A later incarnation is listed under the same address.
    bool isSuperseded = false;

    bool takesWork(base::Instant now) const
    {
        return isCurrent(now) && !suspicion.isActive(now);
    }
    // Listed as ready, whether or not it answers.
    bool isCurrent(base::Instant now) const { return (isListed || now < graceEndsAt) && !isSuperseded && !instance.isDraining && !suspicion.isReplaced(); }
};

} // namespace redwingseam::fleet
