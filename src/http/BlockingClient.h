#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResult.h"

#include <curl/curl.h>

namespace redwingseam::http {

// Makes one HTTP request at a time and waits for its answer; keeps its connections for the next one.
// For one thread at a time.
class BlockingClient {
public:
    BlockingClient();
    ~BlockingClient();
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    HttpResult exchange(const HttpRequest&);

private:
    CURL* m_easy;
};

// Makes one HTTP request on a connection of its own. For command-line programs.
HttpResult exchange(const HttpRequest&);

} // namespace redwingseam::http
