#pragma once

#include "redwingseam/base/Ids.h"

#include <compare>
#include <cstdint>

namespace redwingseam::route {

// One death of an upstream.
struct DeathId {
    base::UpstreamName upstream;
    uint64_t incarnation = 0;

    auto operator<=>(const DeathId&) const = default;
};

} // namespace redwingseam::route
