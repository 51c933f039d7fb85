#pragma once

#include "redwingseam/peer/PeerMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::codec {

// Convert a message between VMs to and from CBOR. `parseMessage` returns nothing if the bytes are malformed
// or the type is unknown.
std::string formatMessage(const peer::PeerMessage&);
std::optional<peer::PeerMessage> parseMessage(std::string_view bytes);

} // namespace redwingseam::codec
