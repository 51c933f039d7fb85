#pragma once

#include "manifest/ManifestState.h"
#include "redwingseam/base/ResultCode.h"

#include <memory>
#include <optional>

namespace redwingseam::forward {

// The result of admission: whether a request is admitted, and under which route and client account.
struct Admission {
    // Ok, or the reason for the rejection. The other members are null unless it is Ok.
    base::ResultCode code = base::ResultCode::Ok;
    // Keeps the targets of the pointers below alive.
    std::shared_ptr<const manifest::ManifestIndex> index;
    const manifest::Route* route = nullptr;
    // Null also if the route needs no key.
    const manifest::ClientAccount* account = nullptr;
};

} // namespace redwingseam::forward
