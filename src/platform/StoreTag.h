#pragma once

#include "redwingseam/platform/PlatformCall.h"

#include <optional>
#include <string>

namespace redwingseam::platform {

// What belongs to one request to the platform's store: a call, or a list or watch of a prefix.
struct StoreTag {
    std::optional<PlatformCall> call;
    std::string watchedPrefix;
};

} // namespace redwingseam::platform
