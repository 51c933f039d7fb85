#pragma once

#include "redwingseam/base/Instant.h"

#include <string>
#include <vector>

namespace redwingseam::http {

// HTTP request for a AsyncHttpClient or a BlockingClient.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string body;
    // Header lines such as `Content-Type: application/json`.
    std::vector<std::string> headers;
    // Timeout of the whole request and response. Zero disables it.
    base::Duration timeout {};
    base::Duration connectTimeout = std::chrono::milliseconds(800);
    // A response whose body is larger is broken off and counts as incomplete.
    size_t maxBodyBytes = 8 * 1024 * 1024;
    // Whether to open a new connection for this request. libcurl retries a request by itself if a reused
    // connection turns out to be closed, which is unsafe for work that may already have been executed.
    bool isSingleUse = false;
    // Name of a response header whose value BlockingClient returns.
    std::string wantedHeader;
};

} // namespace redwingseam::http
