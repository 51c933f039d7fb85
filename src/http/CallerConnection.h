#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Mutex.h"

#include <microhttpd.h>
#include <string>

namespace redwingseam::http {

// One caller's connection. Filled by effects and drained by the HTTP server; guarded by `mutex`.
struct CallerConnection {
    base::Mutex mutex;
    MHD_Connection* connection = nullptr;
    std::string path;
    std::string body;
    bool isTooLarge = false;

    base::RequestId id;
    base::ClientName client;
    base::Fingerprint fingerprint;
    bool isStreamed = false;
    bool isRegistered = false;

    // The answer's status and type are known, so the headers can go out.
    bool isReady = false;
    bool isEnded = false;
    bool isSuspended = false;
    unsigned status = 200;
    bool isEventStream = false;
    unsigned retryAfterSeconds = 0;
    std::string outgoing;
    size_t offset = 0;
};

} // namespace redwingseam::http
