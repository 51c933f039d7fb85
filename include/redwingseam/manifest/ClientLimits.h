#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::manifest {

// Size limits and timeouts for requests from clients. A plain value.
struct ClientLimits {
    // Maximum size of the headers of a request, in bytes.
    uint32_t maxHeaderBytes = 16 * 1024;
    // Maximum size of the body of a request, in bytes.
    uint64_t maxBodyBytes = 4 * 1024 * 1024;
    // Timeout from the first byte of a request to the end of its headers.
    base::Duration headerTimeout = std::chrono::seconds(3);
    // Timeout of a connection between two requests, and between two parts of a body.
    base::Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace redwingseam::manifest
