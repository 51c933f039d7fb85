#pragma once

#include "redwingseam/base/Instant.h"
#include "sync/UpstreamList.h"

#include <memory>
#include <optional>

namespace redwingseam::sync {

// A list of upstreams with the time of its last confirmation.
struct UpstreamSnapshot {
    std::shared_ptr<const UpstreamList> list;
    // The latest time at which the list is known to have been up to date.
    base::Instant confirmedAt {};
    // How long an upstream that is missing from the list is still used.
    base::Duration missingEntryGrace {};
};

} // namespace redwingseam::sync
