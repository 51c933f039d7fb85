#pragma once

#include "redwingseam/store/StoreCall.h"

#include <optional>
#include <string>

namespace redwingseam::store {

// Context of one request to the platform's store: a call, or the prefix of a list or watch.
struct StoreRequestContext {
    std::optional<StoreCall> call;
    std::string watchedPrefix;
};

} // namespace redwingseam::store
