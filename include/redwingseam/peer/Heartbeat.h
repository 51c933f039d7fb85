#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::peer {

// The sender is alive.
struct Heartbeat {
    base::VmName from;
};

} // namespace redwingseam::peer
