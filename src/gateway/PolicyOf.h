#pragma once

#include "redwingseam/manifest/Route.h"
#include "redwingseam/settings/Policy.h"

namespace redwingseam::gateway {

// The objectives that a request on `route` is held against in the burn report.
settings::Policy policyOf(const manifest::Route& route, uint32_t priority);

} // namespace redwingseam::gateway
