#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::report {

// Service-level objective (SLO) that a request is measured against.
enum class Objective : uint8_t {
    FirstToken,
    BetweenTokens,
    Resume,
    CompleteAnswer,
};

inline constexpr size_t objectiveCount = 4;

constexpr size_t indexOf(Objective objective)
{
    return static_cast<size_t>(objective);
}

} // namespace redwingseam::report

template<>
struct redwingseam::base::EnumNames<redwingseam::report::Objective> {
    using Objective = redwingseam::report::Objective;
    static constexpr std::array entries {
        std::pair { Objective::FirstToken, std::string_view { "first_token" } },
        std::pair { Objective::BetweenTokens, std::string_view { "between_tokens" } },
        std::pair { Objective::Resume, std::string_view { "resume" } },
        std::pair { Objective::CompleteAnswer, std::string_view { "answered_whole" } },
    };
};
