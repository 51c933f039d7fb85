#pragma once

#include "ObjectStore.h"
#include "http/NoStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

#include <atomic>

namespace redwingseam::standin {

// HTTP face of the stand-in for the platform's store: /objects/KEY, /list, /watch, and switches under
// /admin for outage, slowness and answers that are lost after they took effect.
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
    bool consumeWritePermit();

    ObjectStore m_store;
    uint32_t m_writesPerSecond;
    std::atomic<bool> m_isDown { false };
    std::atomic<int64_t> m_delayMillis { 0 };
    std::atomic<uint32_t> m_droppedResponseInterval { 0 };
    std::atomic<uint32_t> m_writes { 0 };
    std::atomic<int64_t> m_currentSecond { 0 };
    std::atomic<uint32_t> m_writesThisSecond { 0 };
    base::Mutex m_mutex;
    base::Condition m_neverSignalled;
};

} // namespace redwingseam::standin
