#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <optional>

namespace redwingseam::sync {

// A change of one entry in the store.
struct UpstreamChange {
    // Empty if the name of the entry cannot be read.
    base::UpstreamName id;
    // Not set if the entry was removed or does not describe an upstream.
    std::optional<fleet::UpstreamInstance> current;
    // Whether the entry exists and does not describe an upstream.
    bool isSkipped = false;
};

} // namespace redwingseam::sync
