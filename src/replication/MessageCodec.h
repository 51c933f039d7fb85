#pragma once

#include "replication/Message.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::replication {

// CBOR form of a message. Moments travel as ages, since the nodes' clocks have nothing in common; `now` is
// the moment of sending or receiving. `parseMessage` returns nothing for anything else.
std::string formatMessage(const Message&, base::Instant now);
std::optional<Message> parseMessage(std::string_view bytes, base::Instant now);

} // namespace redwingseam::replication
