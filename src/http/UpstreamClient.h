#pragma once

#include "base/Hash.h"
#include "http/CurlLoop.h"
#include "http/UpstreamAnswers.h"
#include "redwingseam/node/CallService.h"
#include "redwingseam/node/CancelAttempt.h"
#include "redwingseam/node/StartGeneration.h"

#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace redwingseam::http {

// Carries out attempts at engines and plain services over HTTP. All events of one request come from
// one thread, so they stay in order. Thread-safe.
template<UpstreamEvents Events>
class UpstreamClient {
public:
    explicit UpstreamClient(Events& events)
        : m_answers(events)
    {
        for (size_t index = 0; index < loopCount; ++index)
            m_loops[index] = std::make_unique<CurlLoop<Answers>>(m_answers, "upstream-" + std::to_string(index));
    }

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
        loopOf(effect.request).submit(transferId(effect.request, effect.attempt), std::move(request), { UpstreamCallKind::Generation, effect.request, effect.attempt, effect.upstream.name, {}, {} });
    }

    void call(const node::CallService& effect)
    {
        HttpRequest request { "POST", effect.upstream.url + "/call", effect.body };
        request.isSingleUse = true;
        if (effect.key)
            request.headers.push_back("Idempotency-Key: " + effect.key->text);
        loopOf(effect.request).submit(transferId(effect.request, effect.attempt), std::move(request), { UpstreamCallKind::Service, effect.request, effect.attempt, effect.upstream.name, {}, {} });
    }

    void cancel(const node::CancelAttempt& effect) { loopOf(effect.request).cancel(transferId(effect.request, effect.attempt)); }

    // Asks an upstream for its load.
    void probe(const route::UpstreamRecord& upstream)
    {
        HttpRequest request { "GET", upstream.url + "/v1/load" };
        request.timeout = probeTimeout;
        auto id = base::hashBytes(upstream.name.text, m_probes++);
        m_loops[id % loopCount]->submit(id, std::move(request), { UpstreamCallKind::Probe, {}, {}, upstream.name, {}, {} });
    }

    void stop()
    {
        for (auto& loop : m_loops)
            loop->stop();
    }

private:
    using Answers = UpstreamAnswers<Events>;

    static constexpr size_t loopCount = 2;
    static constexpr base::Duration probeTimeout = std::chrono::seconds(1);

    CurlLoop<Answers>& loopOf(base::RequestId request) { return *m_loops[request.value % loopCount]; }

    static uint64_t transferId(base::RequestId request, base::AttemptNumber attempt) { return base::hashCombine(request.value, attempt.value); }

    Answers m_answers;
    std::atomic<uint64_t> m_probes { 1 };
    std::array<std::unique_ptr<CurlLoop<Answers>>, loopCount> m_loops;
};

} // namespace redwingseam::http
