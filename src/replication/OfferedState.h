#pragma once

#include <cstdint>

namespace redwingseam::replication {

// The versions of the state that another node holds; 0 if none.
struct OfferedState {
    uint64_t manifestVersion = 0;
    uint64_t listRevision = 0;
};

} // namespace redwingseam::replication
