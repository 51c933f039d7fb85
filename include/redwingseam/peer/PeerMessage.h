#pragma once

#include "redwingseam/peer/ClaimDecided.h"
#include "redwingseam/peer/ClaimRelay.h"
#include "redwingseam/peer/Digest.h"
#include "redwingseam/peer/Gossip.h"
#include "redwingseam/peer/Heartbeat.h"

#include <variant>

namespace redwingseam::peer {

// Message from one VM to another.
using PeerMessage = std::variant<Heartbeat, Gossip, Digest, ClaimRelay, ClaimDecided>;

} // namespace redwingseam::peer
