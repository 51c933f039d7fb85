#pragma once

#include "http/EngineResponseParser.h"
#include "http/HttpResult.h"
#include "http/UpstreamCall.h"
#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/ProbeFailed.h"

#include <concepts>

namespace redwingseam::http {

// Handles the events that result from upstream responses.
template<typename T>
concept UpstreamEventHandler = requires(T& handler, const node::TokensReceived& tokens, const node::AttemptEnded& ended, const node::ProbeFailed& failed, const route::LoadReport& load, const route::CacheEvent& cache)
{
    handler.handle(tokens);
    handler.handle(ended);
    handler.handle(failed);
    handler.handle(load);
    handler.handle(cache);
};

// Converts the responses of upstreams into events.
template<UpstreamEventHandler Handler>
class UpstreamResponseHandler {
public:
    using Tag = UpstreamCall;

    explicit UpstreamResponseHandler(Handler& handler)
        : m_handler(handler)
    {
    }

    bool onData(Tag& call, long status, std::string_view bytes)
    {
        if (call.kind != UpstreamCallKind::Generation || status != 200)
            return false;
        call.eventParser.feed(bytes, [&](const ServerSentEvent& event) { onEvent(call, event); });
        return true;
    }

    void onDone(Tag& call, HttpResult result)
    {
        if (call.kind == UpstreamCallKind::Probe) {
            onProbeDone(call, result);
            return;
        }
        node::AttemptEnded ended { call.request, call.attempt, endOf(call, result), call.totalTokens.value_or(0), {} };
        if (call.kind == UpstreamCallKind::Service)
            ended.answer = { static_cast<uint16_t>(result.status), std::move(result.body) };
        m_handler.handle(ended);
    }

private:
    static constexpr long statusServiceUnavailable = 503;

    static node::AttemptEnd endOf(const Tag& call, const HttpResult& result)
    {
        if (!result.isSent)
            return node::AttemptEnd::Unreachable;
        // Engines and services return 503 only before they execute anything.
        if (result.isComplete && result.status == statusServiceUnavailable)
            return node::AttemptEnd::Refused;
        if (call.kind == UpstreamCallKind::Service)
            return result.isComplete ? node::AttemptEnd::Complete : node::AttemptEnd::Lost;
        if (result.isComplete && result.status != 200)
            return node::AttemptEnd::Refused;
        return call.totalTokens ? node::AttemptEnd::Complete : node::AttemptEnd::Lost;
    }

    void onEvent(Tag& call, const ServerSentEvent& event)
    {
        if (event.name == "done") {
            call.totalTokens = parseTotal(event.data);
            return;
        }
        auto tokens = parseTokens(event.data);
        if (!tokens)
            return;
        tokens->request = call.request;
        tokens->attempt = call.attempt;
        m_handler.handle(*tokens);
    }

    void onProbeDone(const Tag& call, const HttpResult& result)
    {
        auto load = result.isComplete && result.status == 200 ? parseLoad(call.upstream, result.body) : std::nullopt;
        if (!load) {
            m_handler.handle(node::ProbeFailed { call.upstream });
            return;
        }
        m_handler.handle(load->load);
        for (const auto& event : load->cacheEvents)
            m_handler.handle(event);
    }

    Handler& m_handler;
};

} // namespace redwingseam::http
