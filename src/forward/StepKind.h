#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// What the caller of an Exchange is to do next.
enum class StepKind : uint8_t {
    Wait,
    // Send the request to an upstream.
    Send,
    // Pass on the whole answer that an upstream gave last.
    Deliver,
    // Answer that the request was not run and when to come back.
    Refuse,
    // Answer that the outcome is unknown, or break off a stream that has begun.
    Fail,
    // As Fail, because the time is up.
    TimeOut,
    // Find out whether the upstream still accepts connections.
    Probe,
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
    };
};
