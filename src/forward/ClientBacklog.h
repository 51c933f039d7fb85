#pragma once

#include "base/TokenCount.h"

#include <cstddef>

namespace redwingseam::forward {

// Waiting work of one client. The number of requests tells whether there is any: the cost may have saturated.
struct ClientBacklog {
    size_t requests = 0;
    base::TokenCount cost;
};

} // namespace redwingseam::forward
