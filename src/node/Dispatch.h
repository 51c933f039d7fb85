#pragma once

#include "redwingseam/route/UpstreamRecord.h"
#include "schedule/QueuedWork.h"

namespace redwingseam::node {

// Work that got a slot, and the upstream that gave it.
struct Dispatch {
    schedule::QueuedWork work;
    route::UpstreamRecord upstream;
};

} // namespace redwingseam::node
