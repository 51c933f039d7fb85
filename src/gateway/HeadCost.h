#pragma once

#include <cstddef>

namespace redwingseam::gateway {

// Returns the memory that headers of `bytes` in `lines` take while their request is served: the parsed fields, each in an
// allocation of its own, and their text as it is sent to an upstream.
constexpr size_t headCost(size_t bytes, size_t lines)
{
    // Of the parser's container, with the overhead of the allocation.
    constexpr size_t bytesPerLine = 80;
    return 2 * bytes + lines * bytesPerLine;
}

// Usual requests, with their bodies, take less than this. They are always read, so that large ones cannot crowd them out.
inline constexpr size_t ordinaryRequestCost = 8 * 1024;

} // namespace redwingseam::gateway
