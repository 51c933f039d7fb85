#pragma once

#include "ObjectStore.h"
#include "http/NoStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

#include <atomic>

namespace redwingseam::standin {

// HTTP interface of the stand-in for the platform's store: /objects/KEY, /list, /watch, and fault
// injection under /admin: an outage, slow responses, and responses lost after the write took effect.
class StoreHandler {
public:
    using Stream = http::NoStream;
    using Response = http::ServerResponse<Stream>;

    explicit StoreHandler(uint32_t writesPerSecond)
        : m_writesPerSecond(writesPerSecond)
    {
    }

    Response handle(const http::ServerRequest&);

private:
    Response object(const http::ServerRequest&, const std::string& key);
    Response write(const http::ServerRequest&, const std::string& key);
    Response list(const http::ServerRequest&);
    Response watch(const http::ServerRequest&);
    Response handleAdmin(const http::ServerRequest&);
    // Returns whether a write is within the rate limit of the current second, and counts it.
    bool consumeWritePermit();

    ObjectStore m_store;
    uint32_t m_writesPerSecond;
    std::atomic<bool> m_isDown { false };
    std::atomic<int64_t> m_delayMillis { 0 };
    // Every n-th write takes effect but is answered with status 500; 0 disables this.
    std::atomic<uint32_t> m_droppedResponseInterval { 0 };
    std::atomic<uint32_t> m_writes { 0 };
    std::atomic<int64_t> m_currentSecond { 0 };
    std::atomic<uint32_t> m_writesThisSecond { 0 };
    base::Mutex m_mutex;
    // Never signalled; used to wait for the injected delay.
    base::Condition m_neverSignalled;
};

} // namespace redwingseam::standin
