#pragma once

#include "manifest/ManifestIndex.h"
#include "redwingseam/base/Instant.h"

#include <memory>
#include <string>

namespace redwingseam::manifest {

// What a node knows of the manifest at one moment.
struct ManifestState {
    // Null until a manifest is known.
    std::shared_ptr<const ManifestIndex> index;
    // The store's text of it, for the other nodes.
    std::shared_ptr<const std::string> text;
    // Latest moment at which `index` is known to have been the newest version.
    base::Instant confirmedAt {};
};

} // namespace redwingseam::manifest
