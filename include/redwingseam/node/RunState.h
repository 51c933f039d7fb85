#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// What a refusal says of the work: it was not run and won't be, it may have been, or part of it was.
enum class RunState : uint8_t {
    NotRun,
    Unknown,
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
