#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// How an upstream connection failed while it was in use.
enum class ConnectionFailure : uint8_t {
    NotConnected,
    BeforeResponse,
    DuringResponse,
    // The received bytes are not a valid HTTP response.
    Malformed,
};

} // namespace redwingseam::gateway
