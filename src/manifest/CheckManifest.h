#pragma once

#include "manifest/Finding.h"
#include "redwingseam/manifest/Manifest.h"

namespace redwingseam::manifest {

// Returns the faults of a manifest before it is put into force: errors, entries that can never match, and values that
// contradict each other.
Findings checkManifest(const Manifest&);

} // namespace redwingseam::manifest
