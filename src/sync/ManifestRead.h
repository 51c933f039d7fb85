#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <optional>
#include <string>

namespace redwingseam::sync {

// The result of a linearizable read of the manifest.
struct ManifestRead {
    uint64_t version = 0;
    // The era of the store that returned it.
    uint64_t era = 0;
    // Not set if the text is identical to the one that this client returned before.
    std::optional<manifest::Manifest> changed;
    // Set only if `changed` is set.
    std::string text {};
};

} // namespace redwingseam::sync
