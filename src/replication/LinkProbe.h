#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace redwingseam::replication {

// A part of a reply that shows how fast the link carries messages, and tells what the sender last sent as full state. It
// shares the link with that state and overtakes it.
struct LinkProbe {
    // The query that the sender last answered with full state; 0 if none.
    uint64_t stateSequence = 0;
    // The approximate size of that reply.
    uint64_t stateBytes = 0;
    std::string padding;

    // Large compared with the headers of a message, and small compared with the state of a large deployment.
    static constexpr size_t paddingBytes = 16 * 1024;
};

} // namespace redwingseam::replication
