#pragma once

#include <cstdint>

namespace redwingseam::sync {

// How up to date the result of a read from the store must be.
enum class Freshness : uint8_t {
    // Includes every write acknowledged before the call.
    Latest,
    // May be seconds old, but is far cheaper for the store.
    Recent,
};

} // namespace redwingseam::sync
