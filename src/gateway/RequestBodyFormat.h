#pragma once

#include "gateway/RequestBodyReader.h"

namespace redwingseam::gateway {

// Makes an http::RequestBody the body of a message of Boost.Beast, which requires these names.
struct RequestBodyFormat {
    using value_type = http::RequestBody;
    using reader = RequestBodyReader;

    static uint64_t size(const http::RequestBody& body) { return body.size(); }
};

} // namespace redwingseam::gateway
