#pragma once

#include "codec/ObjectCodec.h"
#include "http/AsyncHttpClient.h"
#include "redwingseam/store/WatchObjects.h"
#include "store/StoreResponseHandler.h"

#include <atomic>

namespace redwingseam::store {

// HTTP client with which redwingseamd accesses the platform's store. A watch lists its prefix, then waits
// for changes by long polls. After a failure it starts over with exponential backoff. Thread-safe.
template<StoreEventHandler Handler>
class StoreClient {
public:
    StoreClient(std::string url, Handler& handler)
        : m_url(std::move(url))
        , m_responses(handler, m_watches)
        , m_client(m_responses, "store")
    {
    }

    void call(StoreCall call)
    {
        auto request = makeRequest(call);
        m_client.submit(m_nextId++, std::move(request), { std::move(call), {} });
    }

    void watch(const WatchObjects& effect) { m_watches.setWanted(effect.prefix, effect.isWanted); }

    // Sends the watch requests that are due. Must be called periodically.
    void tick(base::Instant now)
    {
        for (const auto& due : m_watches.takeDue(now))
            m_client.submit(m_nextId++, watchRequest(due), { std::nullopt, due.prefix });
    }

    void stop() { m_client.stop(); }

private:
    static constexpr base::Duration callTimeout = std::chrono::seconds(2);
    static constexpr base::Duration longPollTimeout = std::chrono::seconds(20);
    // A list holds all objects of its prefix.
    static constexpr size_t maxListBytes = 64 * 1024 * 1024;

    http::HttpRequest makeRequest(const StoreCall& call) const
    {
        http::HttpRequest request { "GET", m_url + "/objects/" + call.key.text };
        request.timeout = callTimeout;
        // The HTTP client must not retry a write on its own.
        request.isSingleUse = call.kind != CallKind::Read;
        if (call.kind == CallKind::Remove)
            request.method = "DELETE";
        else if (call.kind != CallKind::Read)
            request.method = "PUT";
        if (call.value)
            request.body = codec::formatObject(*call.value);
        if (call.kind == CallKind::Create)
            request.headers.emplace_back("If-None-Match: *");
        if (call.kind == CallKind::Update)
            request.headers.push_back("If-Match: " + std::to_string(call.expectedVersion.value));
        return request;
    }

    http::HttpRequest watchRequest(const DueWatch& due) const
    {
        auto longPollMillis = std::chrono::duration_cast<std::chrono::milliseconds>(longPollTimeout).count();
        auto path = due.revision ? "/watch?prefix=" + due.prefix + "&after=" + std::to_string(due.revision) + "&wait_ms=" + std::to_string(longPollMillis) : "/list?prefix=" + due.prefix;
        http::HttpRequest request { "GET", m_url + path };
        request.timeout = longPollTimeout + callTimeout;
        request.maxBodyBytes = maxListBytes;
        return request;
    }

    std::string m_url;
    std::atomic<uint64_t> m_nextId { 1 };
    WatchTable m_watches;
    StoreResponseHandler<Handler> m_responses;
    http::AsyncHttpClient<StoreResponseHandler<Handler>> m_client;
};

} // namespace redwingseam::store
