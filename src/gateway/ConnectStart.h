#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// Result of starting to connect to an upstream.
enum class ConnectStart : uint8_t {
    // The result is reported later, also of a connect that failed at once.
    Started,
    // This process or machine lacks the descriptors or memory for a connection. Nothing is known of the upstream.
    NoResources,
};

} // namespace redwingseam::gateway
