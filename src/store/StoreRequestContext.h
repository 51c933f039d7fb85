#pragma once

#include "redwingseam/store/PlatformCall.h"

#include <optional>
#include <string>

namespace redwingseam::store {

// Context of one request to the platform's store: a call, or the prefix of a list or watch.
struct StoreRequestContext {
    std::optional<PlatformCall> call;
    std::string watchedPrefix;
};

} // namespace redwingseam::store
