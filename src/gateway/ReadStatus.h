#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// Result of reading from a non-blocking socket.
enum class ReadStatus : uint8_t {
    // All available bytes, up to the limit, were read; more may arrive.
    Open,
    // The peer closed the connection normally after the bytes that were read.
    Closed,
    // The connection was reset or failed.
    Reset,
};

} // namespace redwingseam::gateway
