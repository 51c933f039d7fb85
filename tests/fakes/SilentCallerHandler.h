#pragma once

#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/CallerRequest.h"

#include <atomic>

namespace redwingseam::fakes {

// Accepts the requests of callers and answers none.
struct SilentCallerHandler {
    std::atomic<unsigned> requests { 0 };

    void handle(const node::CallerRequest&) { ++requests; }
    void handle(const node::CallerDisconnected&) { }
};

} // namespace redwingseam::fakes
