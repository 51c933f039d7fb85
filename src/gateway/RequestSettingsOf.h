#pragma once

#include "redwingseam/manifest/Route.h"
#include "redwingseam/settings/RequestSettings.h"

namespace redwingseam::gateway {

// Returns the objectives against which the error-budget burn report measures a request on `route`.
settings::RequestSettings requestSettingsOf(const manifest::Route& route, uint32_t priority);

} // namespace redwingseam::gateway
