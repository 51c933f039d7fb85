#pragma once

#include "redwingseam/base/Instant.h"
#include "sync/UpstreamList.h"

#include <memory>
#include <optional>

namespace redwingseam::sync {

// A list of upstreams with its age.
struct UpstreamSnapshot {
    std::shared_ptr<const UpstreamList> list;
    // Latest moment at which it is known to have been the newest.
    base::Instant readAt {};
    // How long an upstream that is missing from it is still used.
    base::Duration missingGrace {};
};

} // namespace redwingseam::sync
