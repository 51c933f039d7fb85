#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fleet {

// Why an upstream gets no new work for a while.
enum class SuspicionCause : uint8_t {
    // A connection could not be made.
    Unreachable,
    // A connection with a request on it was reset or closed.
    ConnectionLost,
    // A request got no bytes for longer than it should have.
    Silent,
    // It answered that it has no room.
    Full,
    // Its answer could not be understood.
    Garbled,
    // Its address answered as another instance.
    Replaced,
};

// Whether the upstream itself seems to be down, rather than one answer of it bad.
constexpr bool indicatesOutage(SuspicionCause cause)
{
    return cause == SuspicionCause::Unreachable || cause == SuspicionCause::ConnectionLost || cause == SuspicionCause::Silent;
}

} // namespace redwingseam::fleet

template<>
struct redwingseam::base::EnumNames<redwingseam::fleet::SuspicionCause> {
    using SuspicionCause = redwingseam::fleet::SuspicionCause;
    static constexpr std::array entries {
        std::pair { SuspicionCause::Unreachable, std::string_view { "unreachable" } },
        std::pair { SuspicionCause::ConnectionLost, std::string_view { "connection-lost" } },
        std::pair { SuspicionCause::Silent, std::string_view { "silent" } },
        std::pair { SuspicionCause::Full, std::string_view { "full" } },
        std::pair { SuspicionCause::Garbled, std::string_view { "garbled" } },
        std::pair { SuspicionCause::Replaced, std::string_view { "replaced" } },
    };
};
