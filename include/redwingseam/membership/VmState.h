#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::membership {

// Membership state of a VM. Within one incarnation, a later enumerator overrides an earlier one.
enum class VmState : uint8_t {
    Live,
    // Drains: it finishes its requests and refuses new ones.
    Leaving,
    // Its heartbeats stopped. A VM that reads this about itself announces a new incarnation.
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
