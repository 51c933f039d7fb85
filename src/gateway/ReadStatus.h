#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// What came of reading from a non-blocking socket.
enum class ReadStatus : uint8_t {
    // All that had arrived was read; more may come.
    Open,
    // The other side closed in order after what was read.
    Closed,
    // The connection was reset or failed.
    Reset,
};

} // namespace redwingseam::gateway
