#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::store {

// Outcome of a call to the platform's store.
enum class CallOutcome : uint8_t {
    Done,
    Conflict,
    Absent,
    // Refused by the store's rate limit; it had no effect.
    Throttled,
    // No reply, or an unexpected one: a write may have taken effect, or may still do so.
    Unknown,
};

} // namespace redwingseam::store

template<>
struct redwingseam::base::EnumNames<redwingseam::store::CallOutcome> {
    using CallOutcome = redwingseam::store::CallOutcome;
    static constexpr std::array entries {
        std::pair { CallOutcome::Done, std::string_view { "done" } },
        std::pair { CallOutcome::Conflict, std::string_view { "conflict" } },
        std::pair { CallOutcome::Absent, std::string_view { "absent" } },
        std::pair { CallOutcome::Throttled, std::string_view { "throttled" } },
        std::pair { CallOutcome::Unknown, std::string_view { "unknown" } },
    };
};
