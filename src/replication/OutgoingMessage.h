#pragma once

#include "replication/Message.h"

#include <string>
#include <vector>

namespace redwingseam::replication {

// A message to send. Delivery is not guaranteed.
struct OutgoingMessage {
    std::string address;
    Message message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

} // namespace redwingseam::replication
