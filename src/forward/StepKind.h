#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// The next action for the caller of an Exchange.
enum class StepKind : uint8_t {
    Wait,
    // Send the request to an upstream.
    Send,
    // Forward the last complete response of an upstream.
    Deliver,
    // Respond that the request was not run and when to retry.
    Refuse,
    // Respond that the outcome is unknown, or abort a stream that has begun.
    Fail,
    // Like Fail, because the deadline has passed.
    TimeOut,
    // Check whether the upstream still accepts connections.
    Probe,
    // Go on with the attempt that was kept, after the end of the one that was to replace it.
    GoBack,
};

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::StepKind> {
    using StepKind = redwingseam::forward::StepKind;
    static constexpr std::array entries {
        std::pair { StepKind::Wait, std::string_view { "wait" } },
        std::pair { StepKind::Send, std::string_view { "send" } },
        std::pair { StepKind::Deliver, std::string_view { "deliver" } },
        std::pair { StepKind::Refuse, std::string_view { "refuse" } },
        std::pair { StepKind::Fail, std::string_view { "fail" } },
        std::pair { StepKind::TimeOut, std::string_view { "time-out" } },
        std::pair { StepKind::Probe, std::string_view { "probe" } },
        std::pair { StepKind::GoBack, std::string_view { "go-back" } },
    };
};
