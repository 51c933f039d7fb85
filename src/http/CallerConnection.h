#pragma once

#include "http/RequestBody.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Mutex.h"

#include <microhttpd.h>
#include <string>

namespace redwingseam::http {

// State of one request of a caller and its response. Effects append to it and the HTTP server sends it;
// `mutex` guards what both use.
struct CallerConnection {
    base::Mutex mutex;
    MHD_Connection* native = nullptr;
    std::string path;
    RequestBody body;
    // The tokens of a response that is not streamed.
    std::string pieces;
    bool isBodyTooLarge = false;
    // The server had no memory for the body when it arrived.
    bool isBodyRefused = false;
    // What the body, or the content of the request after it, takes of the server's memory for bodies.
    size_t reservedBytes = 0;

    base::RequestId id;
    base::ClientName client;
    base::Fingerprint fingerprint;
    bool isStreamed = false;
    // The request was received completely and counts as unfinished, even if it was malformed.
    bool hasStarted = false;

    // The status and content type of the response are known, so its headers can be sent.
    bool areHeadersReady = false;
    bool isEnded = false;
    // The response ends early, so it must not look complete.
    bool isBroken = false;
    bool isSuspended = false;
    unsigned status = 200;
    bool isEventStream = false;
    unsigned retryAfterSeconds = 0;
    std::string outgoing;
    size_t offset = 0;
};

} // namespace redwingseam::http
