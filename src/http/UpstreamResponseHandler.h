#pragma once

#include "http/EngineResponseParser.h"
#include "http/HttpResult.h"
#include "http/UpstreamRequestContext.h"
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
    using Context = UpstreamRequestContext;

    explicit UpstreamResponseHandler(Handler& handler)
        : m_handler(handler)
    {
    }

    bool onData(Context& call, long status, std::string_view bytes)
    {
        if (call.kind != UpstreamRequestKind::Generation || status != 200)
            return false;
        // After a parse error no further events are delivered, so without a total the attempt ends as Lost.
        call.eventParser.feed(bytes, [&](const ServerSentEvent& event) { onEvent(call, event); });
        return true;
    }

    void onDone(Context& call, HttpResult result)
    {
        if (call.kind == UpstreamRequestKind::Probe) {
            onProbeDone(call, result);
            return;
        }
        node::AttemptEnded ended { call.request, call.attempt, endOf(call, result), call.totalTokens.value_or(0), {} };
        if (call.kind == UpstreamRequestKind::Service)
            ended.answer = { static_cast<uint16_t>(result.status), std::move(result.body) };
        m_handler.handle(ended);
    }

private:
    static constexpr long statusServiceUnavailable = 503;

    static node::AttemptEnd endOf(const Context& call, const HttpResult& result)
    {
        if (!result.isSent)
            return node::AttemptEnd::Unreachable;
        // Engines and services return 503 only before they execute anything.
        if (result.isComplete && result.status == statusServiceUnavailable)
            return node::AttemptEnd::Refused;
        if (call.kind == UpstreamRequestKind::Service)
            return result.isComplete ? node::AttemptEnd::Complete : node::AttemptEnd::Lost;
        // Another status replaces the event stream, so the attempt has produced no tokens.
        if (result.isComplete && result.status != 200)
            return node::AttemptEnd::Refused;
        return call.totalTokens ? node::AttemptEnd::Complete : node::AttemptEnd::Lost;
    }

    void onEvent(Context& call, const ServerSentEvent& event)
    {
        if (event.name == "done") {
            call.totalTokens = parseTokenTotal(event.data);
            return;
        }
        auto tokens = parseTokens(event.data);
        if (!tokens)
            return;
        tokens->request = call.request;
        tokens->attempt = call.attempt;
        m_handler.handle(*tokens);
    }

    void onProbeDone(const Context& call, const HttpResult& result)
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
