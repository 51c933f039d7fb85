#pragma once

#include "fakes/FleetFixture.h"
#include "redwingseam/base/Result.h"

namespace redwingseam::fakes {

// Parses a text that begins with the version into a manifest of that version.
struct FakeManifestParser {
    static base::Result<manifest::Manifest> parse(const std::string& text)
    {
        auto manifest = FleetFixture::makeManifest();
        manifest.version = std::stoull(text);
        return manifest;
    }
};

} // namespace redwingseam::fakes
