#pragma once

#include "fakes/FleetFixture.h"
#include "redwingseam/base/Result.h"

namespace redwingseam::fakes {

// Reads a manifest from a text that is its version.
struct FakeManifestParser {
    static base::Result<manifest::Manifest> parse(const std::string& text)
    {
        auto manifest = FleetFixture::makeManifest();
        manifest.version = std::stoull(text);
        return manifest;
    }
};

} // namespace redwingseam::fakes
