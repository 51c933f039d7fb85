#pragma once

#include "redwingseam/peer/PeerMessage.h"

#include <string>

namespace redwingseam::peer {

// Sends a message to a peer. It may be lost.
struct SendPeerMessage {
    // `ip:port` of the peer's listener.
    std::string address;
    PeerMessage message;
};

} // namespace redwingseam::peer
