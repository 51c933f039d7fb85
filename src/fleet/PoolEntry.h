#pragma once

#include "fleet/PlacementQuery.h"
#include "fleet/RefusalWindow.h"
#include "fleet/Suspicion.h"
#include "fleet/UpstreamLoad.h"
#include "fleet/WorkRefusal.h"
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
    RefusalWindow refusals;
    WorkRefusal refusal;
    // When the upstream last accepted a connection or sent bytes, for any request or probe of this node.
    base::Instant lastContactAt {};
    bool isListed = true;
    // End of the grace period during which an unlisted upstream is still used.
    base::Instant graceEndsAt {};
    // Whether a later incarnation is known at the same address.
    bool isSuperseded = false;

    // Returns whether the upstream accepts requests and is not suspected.
    bool takesWork(base::Instant now) const { return acceptsRequests(now) && !suspicion.isActive(now); }
    // Returns whether the upstream is eligible and has not asked this node to wait. A suspected upstream may accept
    // requests.
    bool acceptsRequests(base::Instant now) const { return isEligible(now) && !refusal.isDeferred(now); }
    // Returns whether the engine can begin with the request soon: it has few prompts to read before it, and room in its KV
    // cache, so that no running request is preempted. True for an upstream without an engine.
    bool hasRoom(const PlacementQuery&) const;
    // Returns whether the engine can keep a backup and still has most of its KV cache for requests of its own.
    bool hasRoomForBackup(const PlacementQuery&) const;
    // Returns whether the upstream is listed or in its grace period, and neither superseded, leaving nor replaced. A
    // suspected upstream may be eligible.
    bool isEligible(base::Instant now) const { return isPresent(now) && !isLeaving() && !suspicion.isReplaced(); }
    // Returns whether the upstream is listed or in its grace period, and not superseded.
    bool isPresent(base::Instant now) const { return (isListed || now < graceEndsAt) && !isSuperseded; }
    // Returns whether the list or the upstream's own responses say that it is draining.
    bool isLeaving() const { return instance.isDraining || refusal.isLeaving; }
};

} // namespace redwingseam::fleet
