#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <optional>

namespace redwingseam::sync {

// A change of one entry in the store.
struct UpstreamChange {
    base::UpstreamName id;
    // Not set if the entry was removed or does not describe an upstream.
    std::optional<fleet::UpstreamInstance> current;
};

} // namespace redwingseam::sync
