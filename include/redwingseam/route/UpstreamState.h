#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::route {

// Whether an upstream may be given work. Within an incarnation, later states override earlier ones.
enum class UpstreamState : uint8_t {
    // May be given work.
    Live,
    // Is about to shut down: finishes its requests and gets no new ones.
    Leaving,
    // Has left: gets no work and no probes, and is forgotten once no request is in flight there.
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
