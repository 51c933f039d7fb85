#pragma once

#include <memory>
#include <string>

namespace redwingseam::http {

// Answer of a request handler: a whole body, or a stream whose `next` may wait.
template<typename Stream>
struct ServerResponse {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::unique_ptr<Stream> stream {};
};

} // namespace redwingseam::http
