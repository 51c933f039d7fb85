#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// Tells the caller of a refused request whether its work was run.
enum class RunState : uint8_t {
    // The work was not run and will not be.
    NotRun,
    // The work may have been run.
    Unknown,
    // Part of the work was run.
    Partial,
};

} // namespace redwingseam::node

template<>
struct redwingseam::base::EnumNames<redwingseam::node::RunState> {
    using RunState = redwingseam::node::RunState;
    static constexpr std::array entries {
        std::pair { RunState::NotRun, std::string_view { "not-run" } },
        std::pair { RunState::Unknown, std::string_view { "unknown" } },
        std::pair { RunState::Partial, std::string_view { "partial" } },
    };
};
