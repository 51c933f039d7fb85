#pragma once

#include "redwingseam/base/Ids.h"

#include <optional>
#include <string>

namespace redwingseam::claim {

// The recipient of the notice that a record is in the log: a request at this node, or a peer that relayed the
// record. If both members are empty, there is none.
struct ClaimWaiter {
    std::optional<base::RequestId> request;
    std::string peerAddress;
};

} // namespace redwingseam::claim
