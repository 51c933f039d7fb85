#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::membership {

// Whether a VM of the system takes part, in the order in which a state overrides an earlier one of the
// same incarnation.
enum class VmState : uint8_t {
    Live,
    Leaving,
    Gone,
};

} // namespace redwingseam::membership

template<>
struct redwingseam::base::EnumNames<redwingseam::membership::VmState> {
    using VmState = redwingseam::membership::VmState;
    static constexpr std::array entries {
        std::pair { VmState::Live, std::string_view { "live" } },
        std::pair { VmState::Leaving, std::string_view { "leaving" } },
        std::pair { VmState::Gone, std::string_view { "gone" } },
    };
};
