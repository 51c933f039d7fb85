#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// How an upstream connection ended while it was in use.
enum class ConnectionFailure : uint8_t {
    NotConnected,
    BeforeResponse,
    DuringResponse,
    // The bytes are no answer.
    Malformed,
};

} // namespace redwingseam::gateway
