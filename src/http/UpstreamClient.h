#pragma once

#include "base/Hash.h"
#include "http/AsyncHttpClient.h"
#include "http/UpstreamResponseHandler.h"
#include "redwingseam/node/CallService.h"
#include "redwingseam/node/CancelAttempt.h"
#include "redwingseam/node/StartGeneration.h"

#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace redwingseam::http {

// Sends attempts to engines and plain services over HTTP. One thread handles all transfers of a request,
// so its events stay in order. Thread-safe.
template<UpstreamEventHandler Handler>
class UpstreamClient {
public:
    explicit UpstreamClient(Handler& handler)
        : m_responseHandler(handler)
    {
        for (size_t index = 0; index < clientCount; ++index)
            m_clients[index] = std::make_unique<AsyncHttpClient<ResponseHandler>>(m_responseHandler, "upstream-" + std::to_string(index));
    }

    // Starts a generation on an engine.
    void start(const node::StartGeneration& effect)
    {
        nlohmann::json body {
            { "model", effect.upstream.pool.text },
            { "prompt", effect.prompt },
            { "max_tokens", effect.maxTokens },
            { "seed", effect.seed },
            { "priority", base::nameOf(effect.rank) },
            { "prefix", effect.prefixIds },
        };
        HttpRequest request { "POST", effect.upstream.url + "/v1/generate", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
        request.isSingleUse = true;
        clientOf(effect.request).submit(transferId(effect.request, effect.attempt), std::move(request), { UpstreamRequestKind::Generation, effect.request, effect.attempt, effect.upstream.name, {}, {} });
    }

    // Calls a plain service.
    void call(const node::CallService& effect)
    {
        HttpRequest request { "POST", effect.upstream.url + "/call", effect.body };
        request.isSingleUse = true;
        if (effect.key)
            request.headers.push_back("Idempotency-Key: " + effect.key->text);
        clientOf(effect.request).submit(transferId(effect.request, effect.attempt), std::move(request), { UpstreamRequestKind::Service, effect.request, effect.attempt, effect.upstream.name, {}, {} });
    }

    // Aborts an attempt. It reports no further events, except those already being delivered.
    void cancel(const node::CancelAttempt& effect) { clientOf(effect.request).cancel(transferId(effect.request, effect.attempt)); }

    // Requests the load of an upstream, with a timeout of one second.
    void probe(const route::UpstreamRecord& upstream)
    {
        HttpRequest request { "GET", upstream.url + "/v1/load" };
        request.timeout = probeTimeout;
        auto id = base::hashBytes(upstream.name.text, m_nextProbe++);
        m_clients[id % clientCount]->submit(id, std::move(request), { UpstreamRequestKind::Probe, {}, {}, upstream.name, {}, {} });
    }

    // Stops the threads and waits for them.
    void stop()
    {
        for (auto& client : m_clients)
            client->stop();
    }

private:
    using ResponseHandler = UpstreamResponseHandler<Handler>;

    static constexpr size_t clientCount = 2;
    static constexpr base::Duration probeTimeout = std::chrono::seconds(1);

    AsyncHttpClient<ResponseHandler>& clientOf(base::RequestId request) { return *m_clients[request.value % clientCount]; }

    static uint64_t transferId(base::RequestId request, base::AttemptNumber attempt) { return base::hashCombine(request.value, attempt.value); }

    ResponseHandler m_responseHandler;
    std::atomic<uint64_t> m_nextProbe { 1 };
    std::array<std::unique_ptr<AsyncHttpClient<ResponseHandler>>, clientCount> m_clients;
};

} // namespace redwingseam::http
