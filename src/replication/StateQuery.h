#pragma once

#include "fleet/LoadMap.h"
#include "redwingseam/base/Instant.h"
#include "sync/NodeRecord.h"
#include "sync/StoreVersion.h"

#include <cstdint>

namespace redwingseam::replication {

// Asks another node for its state and reports the sender's own load. A hub that queries the hub of another data centre
// reports the load of its whole data centre.
struct StateQuery {
    // Chosen by the sender and returned in the reply.
    uint64_t sequence = 0;
    sync::NodeRecord from;
    // The versions that the sender holds; 0 if none.
    uint64_t manifestVersion = 0;
    sync::StoreVersion listVersion;
    // Whether the sender states the era. The release before doesn't.
    bool hasEra = true;
    fleet::LoadMap loads;
    // Whether the reply should include the difference to a newer list.
    bool wantsState = true;
    // Ages of the sender's manifest and list, meaningful only with versions other than 0.
    base::Duration manifestAge {};
    base::Duration listAge {};
    // The number of nodes that the sender knows, including itself.
    uint64_t nodeCount = 0;
    // See PartRegister::quarantineHash.
    uint64_t quarantineHash = 0;
    // Whether the reply should include the text of a newer manifest, and a newer list whose difference is not known.
    bool wantsFullState = false;
    // Whether the reply may hold the manifest in compressed form.
    bool acceptsCompression = false;
    // Whether the reply should include a LinkProbe.
    bool wantsProbe = false;
};

} // namespace redwingseam::replication
