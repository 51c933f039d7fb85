#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::report {

// Cause of a missed objective.
enum class MissCause : uint8_t {
    // An upstream was lost, no upstream was available, or the outcome of an attempt is unknown.
    EngineLoss,
    // The request failed with StreamLost.
    VmLoss,
    // The queue was full, a deadline passed, or the first token was late without a loss.
    Overload,
    // The platform's store was unavailable, or the manifest was stale or unknown.
    Platform,
    // The request failed with any other result code.
    Refusal,
    // The gap between two tokens was too long and is not explained by a loss.
    SlowUpstream,
};

inline constexpr size_t missCauseCount = 6;

constexpr size_t indexOf(MissCause cause)
{
    return static_cast<size_t>(cause);
}

} // namespace redwingseam::report

template<>
struct redwingseam::base::EnumNames<redwingseam::report::MissCause> {
    using MissCause = redwingseam::report::MissCause;
    static constexpr std::array entries {
        std::pair { MissCause::EngineLoss, std::string_view { "engine_loss" } },
        std::pair { MissCause::VmLoss, std::string_view { "vm_loss" } },
        std::pair { MissCause::Overload, std::string_view { "flood" } },
        std::pair { MissCause::Platform, std::string_view { "platform" } },
        std::pair { MissCause::Refusal, std::string_view { "refusal" } },
        std::pair { MissCause::SlowUpstream, std::string_view { "slow_upstream" } },
    };
};
