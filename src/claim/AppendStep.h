#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::claim {

// The call to the platform that a claim log needs next.
enum class AppendStep : uint8_t {
    None,
    ReadCheckpoint,
    Read,
    Create,
};

} // namespace redwingseam::claim

template<>
struct redwingseam::base::EnumNames<redwingseam::claim::AppendStep> {
    using AppendStep = redwingseam::claim::AppendStep;
    static constexpr std::array entries {
        std::pair { AppendStep::None, std::string_view { "none" } },
        std::pair { AppendStep::ReadCheckpoint, std::string_view { "read-checkpoint" } },
        std::pair { AppendStep::Read, std::string_view { "read" } },
        std::pair { AppendStep::Create, std::string_view { "create" } },
    };
};
