#pragma once

#include <cstdint>

namespace redwingseam::replication {

// The full state that was last sent to another node.
struct SentState {
    // That of the query which asked for it.
    uint64_t sequence = 0;
    // The approximate size of the reply.
    uint64_t bytes = 0;
};

} // namespace redwingseam::replication
