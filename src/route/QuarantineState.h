#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::route {

// Whether a request is suspected of crashing upstreams or is quarantined for it.
enum class QuarantineState : uint8_t {
    Clear,
    Suspected,
    Quarantined,
};

} // namespace redwingseam::route

template<>
struct redwingseam::base::EnumNames<redwingseam::route::QuarantineState> {
    using QuarantineState = redwingseam::route::QuarantineState;
    static constexpr std::array entries {
        std::pair { QuarantineState::Clear, std::string_view { "clear" } },
        std::pair { QuarantineState::Suspected, std::string_view { "suspected" } },
        std::pair { QuarantineState::Quarantined, std::string_view { "convicted" } },
    };
};
