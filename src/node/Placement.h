#pragma once

#include "redwingseam/route/UpstreamRecord.h"
#include "route/InFlightRequest.h"
#include "schedule/QueuedWork.h"

#include <optional>

namespace redwingseam::node {

// Work for which a slot has been reserved, and the upstream that holds the slot.
struct Placement {
    schedule::QueuedWork work;
    route::UpstreamRecord upstream;
    // Deferrable stream of this node to preempt, if the upstream is full.
    std::optional<route::InFlightRequest> victim;
};

} // namespace redwingseam::node
