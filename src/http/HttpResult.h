#pragma once

#include <string>

namespace redwingseam::http {

// What became of a request.
struct HttpResult {
    // Whether a connection was made, so that the request may have been read by the other side.
    bool isSent = false;
    // Whether the whole answer arrived.
    bool isComplete = false;
    long status = 0;
    // Body that the handler did not consume while it came in.
    std::string body;
};

} // namespace redwingseam::http
