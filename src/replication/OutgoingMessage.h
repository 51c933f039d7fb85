#pragma once

#include "replication/Message.h"

#include <string>
#include <vector>

namespace redwingseam::replication {

// A message to be sent; it may be lost.
struct OutgoingMessage {
    std::string address;
    Message message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

} // namespace redwingseam::replication
