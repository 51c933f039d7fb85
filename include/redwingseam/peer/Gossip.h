#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/Fact.h"

#include <vector>

namespace redwingseam::peer {

// Facts that the sender forwards to its peers.
struct Gossip {
    base::VmName from;
    std::vector<membership::Fact> facts;
};

} // namespace redwingseam::peer
