#pragma once

#include "fleet/Suspicion.h"
#include "fleet/UpstreamLoad.h"
#include "redwingseam/fleet/UpstreamInstance.h"

namespace redwingseam::fleet {

// An upstream with its load and health as known to this node.
struct PoolEntry {
    UpstreamInstance instance;
    // Load booked by this node.
    UpstreamLoad localLoad;
    // Load booked by the other nodes, as last reported.
    UpstreamLoad peerLoad;
    Suspicion suspicion;
    // When any request last received bytes from the upstream.
    base::Instant lastContactAt {};
    bool isListed = true;
    // End of the grace period during which an unlisted upstream is still used.
    base::Instant graceEndsAt {};
    // Whether a later incarnation is listed under the same address.
    bool isSuperseded = false;

    bool takesWork(base::Instant now) const
    {
        return isEligible(now) && !suspicion.isActive(now);
    }
    // Returns whether the upstream is listed as ready, regardless of whether it responds.
    bool isEligible(base::Instant now) const { return (isListed || now < graceEndsAt) && !isSuperseded && !instance.isDraining && !suspicion.isReplaced(); }
};

} // namespace redwingseam::fleet
