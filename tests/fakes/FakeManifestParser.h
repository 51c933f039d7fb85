#pragma once

#include "fakes/FleetFixture.h"
#include "redwingseam/base/Result.h"

#include <cctype>

namespace redwingseam::fakes {

// Parses a text that begins with the version into a manifest of that version. Others are malformed.
struct FakeManifestParser {
    static base::Result<manifest::Manifest> parse(const std::string& text)
    {
        if (text.empty() || !std::isdigit(static_cast<unsigned char>(text.front())))
            return base::Error { base::ResultCode::MessageMalformed, "no version" };
        auto manifest = FleetFixture::makeManifest();
        manifest.version = std::stoull(text);
        return manifest;
    }
};

} // namespace redwingseam::fakes
