#pragma once

#include "replication/Message.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::replication {

// Encodes messages as CBOR. Times are sent as ages, since the nodes' clocks are not synchronised; `now` is the
// time of sending or receiving. `parseMessage` returns nothing if the bytes are not a valid message.
std::string formatMessage(const Message&, base::Instant now);
std::optional<Message> parseMessage(std::string_view bytes, base::Instant now);

} // namespace redwingseam::replication
