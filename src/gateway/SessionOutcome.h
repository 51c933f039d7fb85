#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::gateway {

// How a client's request ended, as reported in logs and counters.
enum class SessionOutcome : uint8_t {
    Completed,
    // An upstream responded with status 5xx.
    UpstreamError,
    // The gateway responded with 503; the request was not run.
    Refused,
    // The gateway responded with 4xx: the request was invalid or not allowed.
    Rejected,
    // The gateway responded with 502, because the outcome is unknown.
    Failed,
    TimedOut,
    // The response was aborted after its headers had been sent.
    Aborted,
    ClientDisconnected,
};

inline constexpr size_t sessionOutcomeCount = 8;

} // namespace redwingseam::gateway

template<>
struct redwingseam::base::EnumNames<redwingseam::gateway::SessionOutcome> {
    using SessionOutcome = redwingseam::gateway::SessionOutcome;
    static constexpr std::array entries {
        std::pair { SessionOutcome::Completed, std::string_view { "answered" } },
        std::pair { SessionOutcome::UpstreamError, std::string_view { "answered-failure" } },
        std::pair { SessionOutcome::Refused, std::string_view { "refused" } },
        std::pair { SessionOutcome::Rejected, std::string_view { "rejected" } },
        std::pair { SessionOutcome::Failed, std::string_view { "failed" } },
        std::pair { SessionOutcome::TimedOut, std::string_view { "timed-out" } },
        std::pair { SessionOutcome::Aborted, std::string_view { "broken-off" } },
        std::pair { SessionOutcome::ClientDisconnected, std::string_view { "client-gone" } },
    };
};
