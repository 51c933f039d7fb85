#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResult.h"

#include <curl/curl.h>

namespace redwingseam::http {

// Makes one HTTP request at a time, blocks until its response arrives and reuses connections for later
// requests. Not thread-safe.
class BlockingClient {
public:
    BlockingClient();
    ~BlockingClient();
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    // Sends the request and returns its result. `isComplete` is false after an error or a timeout.
    HttpResult exchange(const HttpRequest&);

private:
    CURL* m_easy;
};

// Makes one HTTP request on a new connection. Intended for command-line programs.
HttpResult exchange(const HttpRequest&);

} // namespace redwingseam::http
