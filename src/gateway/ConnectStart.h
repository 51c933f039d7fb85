#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// Result of starting to connect to an upstream.
enum class ConnectStart : uint8_t {
    Started,
    // The address is invalid or cannot be reached.
    Failed,
    // This process or machine lacks the descriptors or memory for a connection. Nothing is known of the upstream.
    NoResources,
};

} // namespace redwingseam::gateway
