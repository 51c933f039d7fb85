#pragma once

#include "redwingseam/peer/PeerMessage.h"

#include <string>

namespace redwingseam::peer {

// Effect that sends a message to a peer. Delivery is best effort: the message may be lost.
struct SendPeerMessage {
    // `ip:port` on which the peer listens.
    std::string address;
    PeerMessage message;
};

} // namespace redwingseam::peer
