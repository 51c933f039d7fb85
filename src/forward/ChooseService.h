#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// One of the route's services, each in proportion to its weight.
base::ServiceName chooseService(const manifest::Route&, uint64_t random);

} // namespace redwingseam::forward
