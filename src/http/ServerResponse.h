#pragma once

#include <memory>
#include <string>

namespace redwingseam::http {

// Response of a request handler: a complete body, or a stream whose `next` may block.
template<typename Stream>
struct ServerResponse {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::unique_ptr<Stream> stream {};
};

} // namespace redwingseam::http
