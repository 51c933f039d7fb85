#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// How an upstream connection ended while it was in use.
enum class BreakKind : uint8_t {
    NotConnected,
    BeforeAnswer,
    InAnswer,
    // The bytes are no answer.
    Malformed,
};

} // namespace redwingseam::gateway
