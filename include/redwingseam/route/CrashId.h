#pragma once

#include "redwingseam/base/Ids.h"

#include <compare>
#include <cstdint>

namespace redwingseam::route {

// One death of an upstream.
struct CrashId {
    base::UpstreamName upstream;
    uint64_t incarnation = 0;

    auto operator<=>(const CrashId&) const = default;
};

} // namespace redwingseam::route
