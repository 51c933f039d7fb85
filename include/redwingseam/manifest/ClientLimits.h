#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::manifest {

// What a client may send, and how long it may take.
struct ClientLimits {
    uint32_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its headers.
    base::Duration headerTimeout = std::chrono::seconds(3);
    // Between two requests of a connection.
    base::Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace redwingseam::manifest
