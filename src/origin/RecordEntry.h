#pragma once

#include "origin/StreamOrigin.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::origin {

// A stream in a RecordTable.
struct RecordEntry {
    StreamOrigin origin;
    base::Instant beganAt {};
    // Whether this node sent it, so that this node records it in the store.
    bool isOwn = false;
    bool isWritten = false;
};

} // namespace redwingseam::origin
