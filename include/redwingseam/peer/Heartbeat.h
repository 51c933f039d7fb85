#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::peer {

// Tells the receiver that the sender is alive.
struct Heartbeat {
    base::VmName from;
};

} // namespace redwingseam::peer
