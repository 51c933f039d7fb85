#pragma once

#include "manifest/ManifestIndex.h"
#include "redwingseam/base/Instant.h"

#include <memory>
#include <string>

namespace redwingseam::manifest {

// Snapshot of the manifest as known to a node.
struct ManifestState {
    // Null until a manifest is known.
    std::shared_ptr<const ManifestIndex> index;
    // The text as read from the store, for distribution to other nodes.
    std::shared_ptr<const std::string> text;
    // Latest time at which `index` was known to be the newest version.
    base::Instant confirmedAt {};
};

} // namespace redwingseam::manifest
