#pragma once

#include <optional>
#include <string>

namespace redwingseam::http {

// Outcome of an HTTP request.
struct HttpResult {
    // Whether any part of the request may have been sent, so that the server may have executed it.
    // BlockingClient sets it only together with `isComplete`.
    bool isSent = false;
    // Whether the complete response was received.
    bool isComplete = false;
    // HTTP status, or 0 if no status line was received.
    long status = 0;
    // Response body, without the bytes that the handler consumed as they arrived.
    std::string body;
    // Value of HttpRequest::wantedHeader, if the response has that header.
    std::optional<std::string> wantedHeader;
};

} // namespace redwingseam::http
