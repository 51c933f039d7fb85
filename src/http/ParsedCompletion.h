#pragma once

#include "redwingseam/node/CallerRequest.h"

namespace redwingseam::http {

// Contents of the request body of `POST /v1/completions`.
struct ParsedCompletion {
    node::CallerRequest request;
    // Whether the response is a stream of server-sent events instead of one JSON document.
    bool isStreamed = true;
};

} // namespace redwingseam::http
