#pragma once

#include "redwingseam/manifest/Route.h"

namespace redwingseam::forward {

// Returns one of the services of the route, chosen in proportion to their weights by the random bits in
// `random`. Returns the first service if all weights are 0, and an empty name if the route has no service.
base::ServiceName chooseService(const manifest::Route&, uint64_t random);

} // namespace redwingseam::forward
