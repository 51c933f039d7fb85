#pragma once

#include "http/NoStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <map>
#include <string>

namespace redwingseam::standin {

// A plain service that counts how often each idempotency key ran: POST /call, GET /counts, and
// GET /v1/load for probes. Thread-safe.
class ServiceHandler {
public:
    using Stream = http::NoStream;
    using Response = http::ServerResponse<Stream>;

    Response handle(const http::ServerRequest&);

private:
    Response call(const http::ServerRequest&);
    Response counts();

    base::Mutex m_mutex;
    std::map<std::string, uint64_t> m_runCounts;
};

} // namespace redwingseam::standin
