#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::gateway {

// How a client's request ended, for logs and counters.
enum class SessionEnd : uint8_t {
    Answered,
    AnsweredFailure,
    Refused,
    Rejected,
    Failed,
    TimedOut,
    BrokenOff,
    ClientGone,
};

inline constexpr size_t sessionEndCount = 8;

} // namespace redwingseam::gateway

template<>
struct redwingseam::base::EnumNames<redwingseam::gateway::SessionEnd> {
    using SessionEnd = redwingseam::gateway::SessionEnd;
    static constexpr std::array entries {
        std::pair { SessionEnd::Answered, std::string_view { "answered" } },
        std::pair { SessionEnd::AnsweredFailure, std::string_view { "answered-failure" } },
        std::pair { SessionEnd::Refused, std::string_view { "refused" } },
        std::pair { SessionEnd::Rejected, std::string_view { "rejected" } },
        std::pair { SessionEnd::Failed, std::string_view { "failed" } },
        std::pair { SessionEnd::TimedOut, std::string_view { "timed-out" } },
        std::pair { SessionEnd::BrokenOff, std::string_view { "broken-off" } },
        std::pair { SessionEnd::ClientGone, std::string_view { "client-gone" } },
    };
};
