#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// Returns one of the services of the route, chosen at random in proportion to their weights.
base::ServiceName chooseService(const manifest::Route&, uint64_t random);

} // namespace redwingseam::forward
