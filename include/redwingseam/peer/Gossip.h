#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/GossipEntry.h"

#include <vector>

namespace redwingseam::peer {

// Gossip entries that the sender forwards to its peers.
struct Gossip {
    base::VmName from;
    std::vector<membership::GossipEntry> entries;
};

} // namespace redwingseam::peer
