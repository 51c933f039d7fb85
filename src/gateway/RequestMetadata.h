#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>

namespace redwingseam::gateway {

// What the headers of a client's request say.
struct RequestMetadata {
    base::ClientAttemptId attempt;
    // How long the client waits; nothing if it did not say.
    std::optional<base::Duration> deadline;
    base::ApiKey key;
    // The client has read a stream up to this event.
    std::optional<uint64_t> lastEventId;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
};

} // namespace redwingseam::gateway
