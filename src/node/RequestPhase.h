#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::node {

// Where a request stands.
enum class RequestPhase : uint8_t {
    // Its idempotency key is being recorded; nothing has been dispatched.
    Claiming,
    Queued,
    Running,
    // The caller was told that the outcome is not known, while the call may still end.
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
