#pragma once

#include "redwingseam/base/Ids.h"

#include <optional>
#include <string>

namespace redwingseam::claim {

// Who is notified when a record is in the log: a request at this node, a peer that relayed the record, or no
// one.
struct ClaimWaiter {
    std::optional<base::RequestId> request;
    std::string peerAddress;
};

} // namespace redwingseam::claim
