#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::route {

// Whether an upstream may be given work. Within an incarnation, later states override earlier ones.
enum class UpstreamState : uint8_t {
    Live,
    Leaving,
    Gone,
};

} // namespace redwingseam::route

template<>
struct redwingseam::base::EnumNames<redwingseam::route::UpstreamState> {
    using UpstreamState = redwingseam::route::UpstreamState;
    static constexpr std::array entries {
        std::pair { UpstreamState::Live, std::string_view { "live" } },
        std::pair { UpstreamState::Leaving, std::string_view { "leaving" } },
        std::pair { UpstreamState::Gone, std::string_view { "gone" } },
    };
};
