#pragma once

#include "redwingseam/store/PlatformCall.h"

#include <optional>
#include <string>

namespace redwingseam::store {

// What belongs to one request to the platform's store: a call, or a list or watch of a prefix.
struct StoreRequestContext {
    std::optional<PlatformCall> call;
    std::string watchedPrefix;
};

} // namespace redwingseam::store
