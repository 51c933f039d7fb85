#pragma once

#include "redwingseam/node/CallerRequest.h"

namespace redwingseam::http {

// What a caller asked for in a request's body.
struct ParsedCompletion {
    node::CallerRequest request;
    bool isStreamed = true;
};

} // namespace redwingseam::http
