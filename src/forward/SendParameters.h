#pragma once

#include "fleet/Placement.h"
#include "forward/SilentAttempt.h"

#include <cstdint>
#include <optional>

namespace redwingseam::forward {

// Describes where and how to send a request.
struct SendParameters {
    fleet::Placement placement;
    // The stream resumes after this event; nullopt if it starts from the beginning.
    std::optional<uint64_t> lastEventId;
    // Whether the run resumes from the KV cache backup on the target.
    bool usesBackup = false;
    // Time that is left until the deadline of the request, as a limit for the upstream.
    base::Duration timeout {};
    // Whether a reused connection is allowed. The upstream may have closed such a connection, which is noticed only
    // after the request was sent.
    bool allowsReusedConnection = true;
    // Set if this attempt is to replace one that is silent.
    std::optional<SilentAttempt> replaced;
};

} // namespace redwingseam::forward
