#pragma once

#include "manifest/Finding.h"
#include "redwingseam/manifest/Manifest.h"

namespace redwingseam::manifest {

// Returns what changes when `after` takes the place of `before`, and what that does to requests. Keys are not shown whole.
Findings compareManifests(const Manifest& before, const Manifest& after);

} // namespace redwingseam::manifest
