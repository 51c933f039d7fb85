#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/GossipEntry.h"

#include <vector>

namespace redwingseam::peer {

// Facts that the sender passes on.
struct Gossip {
    base::VmName from;
    std::vector<membership::GossipEntry> entries;
};

} // namespace redwingseam::peer
