#pragma once

#include "sync/StoreVersion.h"

#include <optional>

namespace redwingseam::origin {

// The versions of the list of upstreams between which a change of its numbers was observed. A plain value.
struct ListSpan {
    // The last version at which the numbers before were observed; nothing if it isn't known.
    std::optional<sync::StoreVersion> lastBefore;
    // The version at which the new numbers were observed.
    sync::StoreVersion observedAt {};
};

} // namespace redwingseam::origin
