#pragma once

#include "http/NoStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <map>
#include <string>

namespace redwingseam::standin {

// HTTP interface of the stand-in service, which counts the executions of each idempotency key:
// POST /call, GET /counts, and GET /v1/load for health probes. Thread-safe.
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
