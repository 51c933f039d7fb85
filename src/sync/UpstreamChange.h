#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <optional>

namespace redwingseam::sync {

// One entry that changed.
struct UpstreamChange {
    base::UpstreamName id;
    // Nothing if the entry is gone or names no upstream.
    std::optional<fleet::UpstreamInstance> current;
};

} // namespace redwingseam::sync
