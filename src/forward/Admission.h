#pragma once

#include "manifest/ManifestState.h"
#include "redwingseam/base/ResultCode.h"

#include <memory>
#include <optional>

namespace redwingseam::forward {

// Whether a request is taken on, and under which route and client account.
struct Admission {
    // Ok, or why the request is refused.
    base::ResultCode code = base::ResultCode::Ok;
    // Keeps what the pointers below lead to alive.
    std::shared_ptr<const manifest::ManifestIndex> index;
    const manifest::Route* route = nullptr;
    // Null if the route needs no key.
    const manifest::ClientAccount* account = nullptr;
};

} // namespace redwingseam::forward
