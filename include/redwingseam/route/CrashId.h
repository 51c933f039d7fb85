#pragma once

#include "redwingseam/base/Ids.h"

#include <compare>
#include <cstdint>

namespace redwingseam::route {

// Identifies one crash of an upstream. An upstream crashes at most once in an incarnation.
struct CrashId {
    base::UpstreamName upstream;
    uint64_t incarnation = 0;

    auto operator<=>(const CrashId&) const = default;
};

} // namespace redwingseam::route
