#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::forward {

// One complete event of a stream.
struct StreamEvent {
    // The bytes as received, including the blank line that ends the event.
    std::string bytes;
    // Value of the `id` line; nullopt if it is missing or not a number.
    std::optional<uint64_t> id;
    // Whether the event has an `id` or a `data` line. Comments and empty events are no progress of the stream.
    bool hasContent = false;
    // Whether the bytes are an event or a comment at all.
    bool isWellFormed = true;
};

} // namespace redwingseam::forward
