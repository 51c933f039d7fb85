#pragma once

#include "redwingseam/base/Instant.h"

#include <concepts>

namespace redwingseam::base {

// Source of the current time. `now()` must not go backwards and must be safe to call from
// several threads.
template<typename T>
concept Clock = requires(T& clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
};

} // namespace redwingseam::base
