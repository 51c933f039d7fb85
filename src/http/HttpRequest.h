#pragma once

#include "redwingseam/base/Instant.h"

#include <string>
#include <vector>

namespace redwingseam::http {

// A request to be made by a CurlLoop.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::string body;
    // Lines such as `Content-Type: application/json`.
    std::vector<std::string> headers;
    // Longest time for the whole exchange; zero for no limit.
    base::Duration timeout {};
    base::Duration connectTimeout = std::chrono::milliseconds(800);
    // Uses a connection of its own. libcurl sends a request again by itself when a kept connection
    // turns out to be dead, which must not happen to work that may already have been run.
    bool isSingleUse = false;
};

} // namespace redwingseam::http
