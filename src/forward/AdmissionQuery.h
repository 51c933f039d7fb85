#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <string>

namespace redwingseam::forward {

// What admission looks at.
struct AdmissionQuery {
    std::string host;
    std::string path;
    // Empty if the client sent none.
    base::ApiKey key;
    base::Instant now {};
};

} // namespace redwingseam::forward
