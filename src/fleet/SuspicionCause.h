#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fleet {

// Why an upstream temporarily gets no new work.
enum class SuspicionCause : uint8_t {
    // No connection could be established.
    Unreachable,
    // A connection with a request in flight was reset or closed.
    ConnectionLost,
    // A request received no bytes within its timeout.
    Silent,
    // The upstream did not run a request, for lack of capacity or because it came too late.
    AtCapacity,
    // The response was malformed.
    Malformed,
    // Another instance responds at the address.
    Replaced,
};

// Returns whether the upstream itself appears to be down, as opposed to a single bad response.
constexpr bool indicatesOutage(SuspicionCause cause)
{
    return cause == SuspicionCause::Unreachable || cause == SuspicionCause::ConnectionLost || cause == SuspicionCause::Silent;
}

// Returns whether the other nodes should learn of the cause. The others concern single requests.
constexpr bool isShared(SuspicionCause cause)
{
    return indicatesOutage(cause) || cause == SuspicionCause::Replaced;
}

} // namespace redwingseam::fleet

template<>
struct redwingseam::base::EnumNames<redwingseam::fleet::SuspicionCause> {
    using SuspicionCause = redwingseam::fleet::SuspicionCause;
    static constexpr std::array entries {
        std::pair { SuspicionCause::Unreachable, std::string_view { "unreachable" } },
        std::pair { SuspicionCause::ConnectionLost, std::string_view { "connection-lost" } },
        std::pair { SuspicionCause::Silent, std::string_view { "silent" } },
        std::pair { SuspicionCause::AtCapacity, std::string_view { "full" } },
        std::pair { SuspicionCause::Malformed, std::string_view { "garbled" } },
        std::pair { SuspicionCause::Replaced, std::string_view { "replaced" } },
    };
};
