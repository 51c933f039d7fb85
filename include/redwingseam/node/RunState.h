#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// Tells the caller of a refused request whether its work was run.
enum class RunState : uint8_t {
    // The work was not run and will not be, so a retry does not run it twice.
    NotRun,
    // The work may have been run. A retry with the same idempotency key looks up the outcome and does not run
    // the work again; a retry with another key may run it twice.
    Unknown,
    // The work was dispatched, for this request or for the one that it resumes, and did not complete. Part of it
    // may have been run.
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
