#pragma once

#include <concepts>
#include <cstdint>

namespace redwingseam::base {

// Source of uniformly distributed 64-bit words. `next()` must be safe to call from several threads.
template<typename T>
concept RandomSource = requires(T& source)
{
    {
        source.next()
        } -> std::same_as<uint64_t>;
};

} // namespace redwingseam::base
