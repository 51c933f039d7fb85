#pragma once

#include "base/Hash.h"
#include "gateway/HeaderUtils.h"
#include "gateway/HttpStatusFor.h"
#include "gateway/LocalResponse.h"
#include "gateway/RequestTarget.h"
#include "gateway/Session.h"
#include "log/LogLine.h"

#include <glog/logging.h>

namespace redwingseam::gateway {

template<HeaderCodec Codec, typename Worker>
Session<Codec, Worker>::Session(Worker& worker, Client& client, typename Client::Request message, base::Instant arrivedAt)
    : m_worker(worker)
    , m_state(worker.state())
    , m_client(client)
    , m_clientRequest(std::move(message))
    , m_requestMetadata(Codec::readRequest(m_clientRequest))
    , m_number(m_state.nextRequest++)
    , m_arrivedAt(arrivedAt)
    , m_attempt(std::make_unique<Attempt>(m_state.buffers))
    , m_lastTickAt(arrivedAt)
{
    convertAbsoluteTarget(m_clientRequest);
}

// The priority of an account overrides the priority of its route.
inline uint32_t priorityOf(const forward::Admission& admission)
{
    return admission.account && admission.account->priority ? *admission.account->priority : admission.route->priority;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::begin()
{
    auto manifestState = m_state.manifest.state();
    auto target = std::string_view(m_clientRequest.target());
    auto admission = m_state.admission.admit(manifestState, { hostOf(m_clientRequest), pathOf(target), m_requestMetadata.key, m_arrivedAt });
    bool isRefusedByDrain = admission.route && m_arrivedAt >= latestStart(*admission.route);
    if (isRefusedByDrain)
        admission.code = base::ResultCode::Draining;
    if (admission.route)
        m_requestSettings = requestSettingsOf(*admission.route, priorityOf(admission));
    if (admission.code != base::ResultCode::Ok) {
        auto status = httpStatusFor(admission.code);
        std::optional<base::Duration> retryAfter;
        if (status == 503)
            retryAfter = isRefusedByDrain ? m_state.exchangePolicy.retryElsewhereAfter : m_state.exchangePolicy.retryAfter;
        logAdmission(admission);
        sendLocalResponse({ status, admission.code, retryAfter }, status == 503 ? SessionOutcome::Refused : SessionOutcome::Rejected);
        return;
    }
    if (admission.account)
        m_account = admission.account->name;
    m_exchange = std::make_unique<forward::Exchange>(makeExchangeRequest(admission, random()), m_state.fleet, m_state.placementQueue, m_state.crashes, m_state.origins, m_state.exchangePolicy);
    logAdmission(admission);
    m_state.recorder.countRequest(m_requestSettings.rank);
    execute(m_exchange->begin(m_arrivedAt, random()));
    if (!m_isEnded && m_exchange->isQueued())
        LOG(INFO) << log::LogLine("request_queued").with("request", m_requestMetadata.attempt.text).with("rank", base::nameOf(m_requestSettings.rank)).with("prompt_tokens", m_requestMetadata.promptTokens.value()).text();
}

template<HeaderCodec Codec, typename Worker>
base::Instant Session<Codec, Worker>::latestStart(const manifest::Route& route) const
{
    auto drainStart = m_state.drainStartedAt.load();
    if (drainStart == base::Instant {})
        return base::Instant::max();
    return drainStart + m_state.drain.latestStart(route, m_state.streamDurations.estimate());
}

template<HeaderCodec Codec, typename Worker>
forward::ExchangeRequest Session<Codec, Worker>::makeExchangeRequest(const forward::Admission& admission, uint64_t random) const
{
    forward::ExchangeRequest request;
    request.id.value = m_number;
    if (admission.account)
        request.client = admission.account->name;
    request.rank = m_requestSettings.rank;
    request.index = admission.index;
    request.route = admission.route;
    request.attempt = m_requestMetadata.attempt;
    request.resumedAttempt = m_requestMetadata.resumedAttempt;
    // A stream that is taken up goes to the service that began it.
    const auto& stream = request.resumedAttempt.empty() ? request.attempt : request.resumedAttempt;
    request.service = forward::chooseService(*admission.route, stream.empty() ? random : base::hashBytes(stream.text));
    auto caller = admission.account ? std::string_view(admission.account->name.text) : std::string_view();
    request.fingerprint.value = m_clientRequest.body().hash(base::hashBytes(m_clientRequest.target(), base::hashBytes(caller)));
    request.arrivedAt = m_arrivedAt;
    request.latestStart = latestStart(*admission.route);
    request.clientTimeout = m_requestMetadata.timeout.value_or(admission.route->timeout);
    request.promptTokens = m_requestMetadata.promptTokens;
    request.maxOutputTokens = m_requestMetadata.maxOutputTokens;
    request.promptKey = m_requestMetadata.promptKey;
    // Services differ in the parts on which they crash.
    auto serviceHash = base::hashBytes(request.service.text);
    for (auto part : m_requestMetadata.promptParts)
        request.promptParts.push_back({ base::hashCombine(part.value, serviceHash) });
    request.lastEventId = m_requestMetadata.lastEventId;
    request.retries = m_state.settings.retries;
    request.priority = priorityOf(admission);
    return request;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::execute(forward::Step step)
{
    switch (step.kind) {
    case forward::StepKind::Wait:
        return;
    case forward::StepKind::Send:
        if (now() >= latestStart(*m_exchange->request().route)) {
            auto refusal = m_exchange->stopBeforeSend();
            if (refusal.kind != forward::StepKind::Wait) {
                execute(std::move(refusal));
                return;
            }
        }
        startAttempt(step.send);
        return;
    case forward::StepKind::Probe:
        startProbe();
        return;
    case forward::StepKind::GoBack:
        goBack();
        return;
    case forward::StepKind::Deliver:
        deliverResponse();
        return;
    case forward::StepKind::Refuse:
        refuseRequest(step);
        return;
    case forward::StepKind::Fail:
        if (m_exchange->areHeadersSent())
            abortResponse(SessionOutcome::Aborted, step.code);
        else
            sendLocalResponse({ 502, step.code }, SessionOutcome::Failed);
        return;
    case forward::StepKind::TimeOut:
        if (m_exchange->areHeadersSent()) {
            abortResponse(SessionOutcome::TimedOut, step.code);
        } else if (m_failureResponse) {
            discardResponse();
            deliverResponse();
        } else {
            sendLocalResponse({ 504, step.code }, SessionOutcome::TimedOut);
        }
        return;
    }
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::refuseRequest(const forward::Step& step)
{
    auto status = httpStatusFor(step.code);
    if (status == 503)
        sendLocalResponse({ status, step.code, step.retryAfter }, SessionOutcome::Refused);
    else
        sendLocalResponse({ status, step.code }, SessionOutcome::Rejected);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::startAttempt(const forward::SendParameters& parameters)
{
    if (parameters.replaced && parameters.replaced->isKept) {
        keepAttempt();
    } else {
        closeUpstream();
        m_attempt = std::make_unique<Attempt>(m_state.buffers);
    }
    if (m_firstSentAt == base::Instant {})
        m_firstSentAt = now();
    m_attempt->parameters = parameters;
    m_attempt->sentAt = now();
    if (parameters.allowsReusedConnection)
        m_attempt->connection = m_worker.connectionPool().acquire(parameters.placement.target, now());
    m_attempt->isPooledConnection = m_attempt->connection != nullptr;
    m_state.metrics.countConnection(!m_attempt->isPooledConnection);
    if (m_attempt->connection) {
        m_attempt->connection->setOwner(this);
        writeRequest();
        return;
    }
    m_attempt->connection = std::make_unique<Upstream>(m_worker.loop(), parameters.placement.target);
    m_attempt->connection->setOwner(this);
    m_exchange->recordConnecting();
    switch (m_attempt->connection->connect(now())) {
    case ConnectStart::Started:
        return;
    case ConnectStart::NoResources:
        logNoResources();
        closeUpstream();
        execute(m_exchange->attemptNotStarted(now()));
        return;
    }
}

template<HeaderCodec Codec, typename Worker>
std::string Session<Codec, Worker>::serializeRequestHeaders(const forward::SendParameters& parameters) const
{
    namespace http = boost::beast::http;
    http::fields headers = m_clientRequest;
    bool hasBody = !m_clientRequest.body().isEmpty() || m_clientRequest.has_content_length() || m_clientRequest.chunked();
    removeHopByHopHeaders(headers);
    UpstreamRequestMetadata metadata;
    metadata.attempt = m_requestMetadata.attempt;
    metadata.timeout = parameters.timeout;
    metadata.target = parameters.placement.target.id;
    metadata.client = m_account;
    if (m_exchange->isEngineRequest())
        metadata.urgency = m_exchange->urgency();
    metadata.lastEventId = parameters.lastEventId;
    if (parameters.placement.backup)
        metadata.backupAddress = parameters.placement.backup->address;
    if (parameters.usesBackup)
        metadata.resumeBackupAddress = parameters.placement.target.address;
    Codec::writeUpstreamHeaders(headers, metadata);
    std::string text(m_clientRequest.method_string());
    text.append(" ").append(m_clientRequest.target()).append(" HTTP/1.1\r\n").append(serializeHeaders(headers));
    if (hasBody)
        text.append("Content-Length: ").append(std::to_string(m_clientRequest.body().size())).append("\r\n");
    return text.append("\r\n");
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::writeRequest()
{
    m_attempt->connection->send(serializeRequestHeaders(m_attempt->parameters), m_clientRequest.body().blocks(), isHeadRequest(), m_attempt->parameters.timeout);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::tick(base::Instant at, base::Duration pause)
{
    if (m_isEnded || !m_exchange)
        return;
    bool wasPausedBefore = std::exchange(m_wasPaused, pause != base::Duration {});
    if (m_wasPaused) {
        m_exchange->discountPause(pause, at);
        m_lastTickAt = at;
        // What arrived meanwhile is read before the next tick judges the upstream. On an overloaded machine every tick is
        // late, and the deadline holds nevertheless.
        if (!wasPausedBefore)
            return;
    }
    matchReadingToClient(at);
    for (auto* attempt : { m_attempt.get(), m_kept.get() }) {
        if (attempt && attempt->connection)
            attempt->connection->tick(at);
    }
    if (m_probe && at - m_probe->connectStartedAt() > probeTimeout) {
        endFailedProbe();
        return;
    }
    bool isConnecting = m_attempt->connection && !m_attempt->connection->isConnected();
    if (isConnecting && at - m_attempt->connection->connectStartedAt() > connectTimeout) {
        endAttempt(forward::AttemptOutcome::NotConnected);
        return;
    }
    if (at >= latestStart(*m_exchange->request().route)) {
        execute(m_exchange->stopWaiting());
        if (m_isEnded)
            return;
    }
    bool hadPlacement = m_exchange->placement().has_value();
    auto step = m_exchange->tick(at, random());
    followExchange();
    if (hadPlacement && step.kind == forward::StepKind::Send)
        recordReplacement(step.send);
    execute(std::move(step));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::abandon()
{
    if (m_isEnded || !m_exchange)
        return;
    discardResponse();
    execute(m_exchange->abandon());
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::matchReadingToClient(base::Instant at)
{
    auto sinceLastTick = at - std::exchange(m_lastTickAt, at);
    if (!m_attempt->isReadingPaused || !m_attempt->connection)
        return;
    m_exchange->discountPause(sinceLastTick, at);
    if (m_client.pendingBytes() > maxPendingClientBytes / 2)
        return;
    m_attempt->isReadingPaused = false;
    m_attempt->connection->setReadingPaused(false);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::clientDisconnected()
{
    if (!m_isEnded)
        end(SessionOutcome::ClientDisconnected);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::closeUpstream()
{
    closeConnection(m_attempt->connection);
    closeConnection(m_probe);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::closeConnection(std::unique_ptr<Upstream>& connection)
{
    if (!connection)
        return;
    connection->close();
    m_worker.retire(std::move(connection));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::releaseUpstream(std::unique_ptr<Upstream> connection)
{
    if (!connection->isReusable() || m_attempt->metadata.isLeaving) {
        connection->close();
        m_worker.retire(std::move(connection));
        return;
    }
    auto idleTimeout = m_attempt->metadata.keepAlive ? std::chrono::duration_cast<base::Duration>(*m_attempt->metadata.keepAlive * keepAliveFraction) : defaultKeepAlive;
    connection->markIdle(now(), idleTimeout);
    m_worker.connectionPool().release(std::move(connection));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::end(SessionOutcome outcome)
{
    m_isEnded = true;
    closeUpstream();
    if (m_kept)
        closeConnection(m_kept->connection);
    auto kind = m_exchange ? m_exchange->request().route->kind : manifest::RouteKind::NonIdempotent;
    m_state.metrics.countOutcome(kind, outcome);
    recordOutcome(outcome);
    logOutcome(outcome);
    m_exchange.reset();
    m_worker.onSessionEnded(*this);
}

} // namespace redwingseam::gateway
