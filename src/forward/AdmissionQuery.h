#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <string>

namespace redwingseam::forward {

// The properties of a request that admission depends on.
struct AdmissionQuery {
    std::string host;
    std::string path;
    // Empty if the client sent none.
    base::ApiKey key;
    base::Instant now {};
};

} // namespace redwingseam::forward
