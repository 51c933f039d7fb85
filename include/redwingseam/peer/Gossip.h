#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/Fact.h"

#include <vector>

namespace redwingseam::peer {

// Facts that the sender passes on.
struct Gossip {
    base::VmName from;
    std::vector<membership::Fact> facts;
};

} // namespace redwingseam::peer
