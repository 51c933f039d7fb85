#pragma once

#include "redwingseam/manifest/Manifest.h"

#include <optional>
#include <string>

namespace redwingseam::sync {

// What a linearizable read of the manifest returned.
struct ManifestRead {
    uint64_t version = 0;
    // Nothing if it is byte for byte what this reader returned before.
    std::optional<manifest::Manifest> changed;
    // Only with `changed`.
    std::string text {};
};

} // namespace redwingseam::sync
