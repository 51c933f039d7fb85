#pragma once

#include <cstdint>

namespace redwingseam::sync {

// How new an answer of the store must be.
enum class Freshness : uint8_t {
    // Holds all that was acknowledged before the call.
    Latest,
    // May be seconds old; costs the store far less.
    Recent,
};

} // namespace redwingseam::sync
