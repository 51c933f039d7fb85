#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::claim {

// Kind of the call to the platform that a claim log needs next.
enum class LogCallKind : uint8_t {
    None,
    ReadCheckpoint,
    Read,
    Create,
};

} // namespace redwingseam::claim

template<>
struct redwingseam::base::EnumNames<redwingseam::claim::LogCallKind> {
    using LogCallKind = redwingseam::claim::LogCallKind;
    static constexpr std::array entries {
        std::pair { LogCallKind::None, std::string_view { "none" } },
        std::pair { LogCallKind::ReadCheckpoint, std::string_view { "read-checkpoint" } },
        std::pair { LogCallKind::Read, std::string_view { "read" } },
        std::pair { LogCallKind::Create, std::string_view { "create" } },
    };
};
