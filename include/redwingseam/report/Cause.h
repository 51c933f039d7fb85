#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::report {

// What a missed objective was due to.
enum class Cause : uint8_t {
    EngineLoss,
    VmLoss,
    Flood,
    Platform,
    Refusal,
    SlowUpstream,
};

inline constexpr size_t causeCount = 6;

constexpr size_t indexOf(Cause cause)
{
    return static_cast<size_t>(cause);
}

} // namespace redwingseam::report

template<>
struct redwingseam::base::EnumNames<redwingseam::report::Cause> {
    using Cause = redwingseam::report::Cause;
    static constexpr std::array entries {
        std::pair { Cause::EngineLoss, std::string_view { "engine_loss" } },
        std::pair { Cause::VmLoss, std::string_view { "vm_loss" } },
        std::pair { Cause::Flood, std::string_view { "flood" } },
        std::pair { Cause::Platform, std::string_view { "platform" } },
        std::pair { Cause::Refusal, std::string_view { "refusal" } },
        std::pair { Cause::SlowUpstream, std::string_view { "slow_upstream" } },
    };
};
