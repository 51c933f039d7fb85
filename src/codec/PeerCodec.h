#pragma once

#include "redwingseam/peer/PeerMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::codec {

// CBOR form of a message between VMs. `parseMessage` returns nothing for anything else.
std::string formatMessage(const peer::PeerMessage&);
std::optional<peer::PeerMessage> parseMessage(std::string_view bytes);

} // namespace redwingseam::codec
