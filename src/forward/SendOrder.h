#pragma once

#include "fleet/Placement.h"

#include <cstdint>
#include <optional>

namespace redwingseam::forward {

// Where and how a request is sent.
struct SendOrder {
    fleet::Placement placement;
    // The stream goes on after this event; nothing if it starts at its beginning.
    std::optional<uint64_t> lastEventId;
    // The run goes on from the copy of its memory that the target keeps.
    bool usesBackup = false;
    // Time that the upstream may take.
    base::Duration timeout {};
    // May be sent on a connection that was used before. Such a connection may turn out closed after
    // the request has left.
    bool allowsReusedConnection = true;
};

} // namespace redwingseam::forward
