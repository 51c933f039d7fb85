#pragma once

#include "sync/StoreVersion.h"

#include <cstdint>

namespace redwingseam::replication {

// The versions of the state that another node holds; 0 if none.
struct OfferedState {
    uint64_t manifestVersion = 0;
    sync::StoreVersion listVersion;
};

} // namespace redwingseam::replication
