#pragma once

#include "redwingseam/route/UpstreamRecord.h"
#include "route/InFlightRequest.h"
#include "schedule/QueuedWork.h"

#include <optional>

namespace redwingseam::node {

// Work that got a slot, and the upstream that gave it.
struct Dispatch {
    schedule::QueuedWork work;
    route::UpstreamRecord upstream;
    // Deferrable stream of this node that is to give way, where the upstream is full.
    std::optional<route::InFlightRequest> displaced;
};

} // namespace redwingseam::node
