#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::forward {

// One whole event of a stream.
struct StreamEvent {
    // As it came, with the blank line that ends it.
    std::string bytes;
    // Value of its `id` line; nothing if it has none or it is no number.
    std::optional<uint64_t> id;
};

} // namespace redwingseam::forward
