#pragma once

#include "replication/Message.h"

#include <string>
#include <vector>

namespace redwingseam::replication {

// A message to be sent; it may be lost.
struct Outgoing {
    std::string address;
    Message message;
};

using OutgoingList = std::vector<Outgoing>;

} // namespace redwingseam::replication
