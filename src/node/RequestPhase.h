#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// Phase of a request.
enum class RequestPhase : uint8_t {
    // Its idempotency key is being recorded; nothing has been dispatched.
    Claiming,
    Queued,
    Running,
    // The caller has been answered with OutcomeUnknown or has disconnected, but the call may still
    // complete.
    Detached,
};

} // namespace redwingseam::node

template<>
struct redwingseam::base::EnumNames<redwingseam::node::RequestPhase> {
    using RequestPhase = redwingseam::node::RequestPhase;
    static constexpr std::array entries {
        std::pair { RequestPhase::Claiming, std::string_view { "claiming" } },
        std::pair { RequestPhase::Queued, std::string_view { "queued" } },
        std::pair { RequestPhase::Running, std::string_view { "running" } },
        std::pair { RequestPhase::Detached, std::string_view { "detached" } },
    };
};
