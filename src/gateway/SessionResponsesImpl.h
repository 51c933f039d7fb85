#pragma once

#include "gateway/HeaderUtils.h"
#include "gateway/Session.h"

#include "log/LogLine.h"

#include <boost/beast/http/status.hpp>
#include <glog/logging.h>

namespace redwingseam::gateway {

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::onUpstreamConnected(Upstream& connection)
{
    m_state.fleet.recordConnected(connection.instance(), now());
    if (&connection != m_probe.get()) {
        m_exchange->recordActivity(now());
        writeRequest();
        return;
    }
    m_state.metrics.countProbe(true);
    releaseUpstream(std::move(m_probe));
    execute(m_exchange->probeEnded(true, now(), random()));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::onUpstreamHeaders(Upstream& connection, const boost::beast::http::fields& headers, bool hasLength)
{
    const auto& responseHeader = static_cast<const boost::beast::http::response_header<>&>(headers);
    auto metadata = Codec::readResponse(responseHeader.result_int(), headers);
    auto& attempt = attemptOf(connection);
    // Responses of another upstream at the address say nothing of this one.
    if (metadata.isLeaving && !metadata.isMisdirected)
        m_state.fleet.recordLeaving(connection.instance(), now());
    // This is a late response to an earlier request; the expected response follows it.
    if (!metadata.attempt.empty() && metadata.attempt != m_requestMetadata.attempt) {
        attempt.hasLateResponse = true;
        connection.skipResponse();
        return;
    }
    // A response that does not name its request may be a late one to an earlier request.
    if (metadata.attempt.empty() && (attempt.isPooledConnection || attempt.hasLateResponse)) {
        LOG(WARNING) << log::LogLine("answer_without_id").with("request", m_requestMetadata.attempt.text).with("upstream", connection.instance().id.text).with("status", metadata.status).text();
        failAttempt(connection, forward::AttemptOutcome::Malformed);
        return;
    }
    recordActivity(connection);
    applyRetryAfter(connection, metadata, headers);
    attempt.metadata = metadata;
    attempt.response.status = metadata.status;
    attempt.response.headers = headers;
    attempt.hasResponseLength = hasLength;
    if (!hasLength)
        LOG(INFO) << log::LogLine("answer_without_length").with("request", m_requestMetadata.attempt.text).with("status", metadata.status).with("headers", serializeHeaders(headers)).text();
    attempt.isEventStream = m_exchange->request().route->kind == manifest::RouteKind::Stream && metadata.status == 200 && metadata.isSigned && !isHeadRequest();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::applyRetryAfter(const Upstream& connection, const ResponseMetadata& metadata, const boost::beast::http::fields& headers)
{
    static constexpr unsigned serviceUnavailable = 503;
    auto stated = headers.find(boost::beast::http::field::retry_after);
    if (metadata.status != serviceUnavailable || stated == headers.end())
        return;
    if (metadata.retryAfter)
        m_state.fleet.deferRequests(connection.instance(), *metadata.retryAfter, now());
    else
        LOG(WARNING) << log::LogLine("retry_after_unreadable").with("upstream", connection.instance().id.text).with("value", stated->value()).text();
}

template<HeaderCodec Codec, typename Worker>
bool Session<Codec, Worker>::reserveResponse(BufferReservation& reservation, size_t bytes)
{
    static constexpr size_t ordinaryResponseBytes = 8 * 1024;
    if (bytes <= ordinaryResponseBytes) {
        reservation.growAlwaysTo(bytes);
        return true;
    }
    // A client that reads slowly loses its response to one whose response is still to be delivered.
    while (!reservation.growTo(bytes)) {
        if (!m_worker.disconnectSlowReader(m_client))
            return false;
    }
    return true;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::onUpstreamBody(Upstream& connection, std::string_view bytes)
{
    auto& attempt = attemptOf(connection);
    if (!attempt.isEventStream) {
        auto size = attempt.response.body.size() + bytes.size();
        if (size > maxResponseBodyBytes || !reserveResponse(attempt.reservation, size)) {
            LOG(WARNING) << log::LogLine("answer_too_large").with("request", m_requestMetadata.attempt.text).with("bytes", size).with("buffered", m_state.buffers.usedBytes()).text();
            failAttempt(connection, forward::AttemptOutcome::Malformed);
            return;
        }
        attempt.response.body.append(bytes);
        return;
    }
    recordActivity(connection);
    auto events = attempt.splitter.push(bytes);
    if (isKept(connection)) {
        auto first = std::find_if(events.begin(), events.end(), [](const auto& event) { return event.hasContent || !event.isWellFormed; });
        if (first == events.end()) {
            limitPartialEvent(connection);
            return;
        }
        if (!first->isWellFormed) {
            failAttempt(connection, forward::AttemptOutcome::Malformed);
            return;
        }
        goOnWithKept();
    }
    if (!events.empty() && !m_exchange->isUpstreamCurrent()) {
        LOG(WARNING) << log::LogLine("upstream_restarted").with("request", m_requestMetadata.attempt.text).with("upstream", m_attempt->parameters.placement.target.id.text).with("version", m_attempt->parameters.placement.target.version.text).text();
        endAttempt(forward::AttemptOutcome::Malformed);
        return;
    }
    for (const auto& event : events) {
        if (!event.isWellFormed) {
            static constexpr size_t maxLoggedBytes = 80;
            LOG(WARNING) << log::LogLine("event_malformed").with("request", m_requestMetadata.attempt.text).with("upstream", m_attempt->parameters.placement.target.id.text).with("begin", event.bytes.substr(0, maxLoggedBytes)).text();
            endAttempt(forward::AttemptOutcome::Malformed);
            return;
        }
        forwardEvent(event);
        if (m_isEnded)
            return;
    }
    if (limitPartialEvent(connection) && m_attempt->splitter.hasPartialContent())
        m_exchange->recordPartialEvent(now());
}

template<HeaderCodec Codec, typename Worker>
bool Session<Codec, Worker>::limitPartialEvent(const Upstream& connection)
{
    auto& attempt = attemptOf(connection);
    if (attempt.splitter.partialBytes() <= maxEventBytes && attempt.reservation.growTo(attempt.splitter.partialBytes()))
        return true;
    failAttempt(connection, forward::AttemptOutcome::Malformed);
    return false;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::forwardEvent(const forward::StreamEvent& event)
{
    m_attempt->hasEventContent = m_attempt->hasEventContent || event.hasContent;
    // Until an event decides between two attempts, the client gets the response of neither.
    if (m_kept && !event.hasContent)
        return;
    auto last = m_exchange->lastEventId();
    if (event.id && last && *event.id <= *last) {
        LOG(WARNING) << log::LogLine("event_repeated").with("request", m_requestMetadata.attempt.text).with("event_id", *event.id).with("last_event", *last).text();
        return;
    }
    auto at = now();
    if (event.hasContent) {
        m_exchange->recordEvent(event.id, at);
        followExchange();
        recordEventTimes(at);
    }
    if (!m_exchange->areHeadersSent())
        writeResponseHeaders(m_attempt->response, "Transfer-Encoding: chunked\r\n");
    if (!m_isEnded)
        writeEvent(event);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::recordEventTimes(base::Instant at)
{
    if (m_firstEventAt == base::Instant {}) {
        m_firstEventAt = at;
        m_state.metrics.record(LatencyKind::Response, at - m_arrivedAt);
        m_state.recorder.recordFirstToken(m_requestSettings, at - m_arrivedAt, m_exchange->possibleRuns() > 0, at);
    } else {
        m_state.recorder.recordGap(m_requestSettings, at - m_lastEventAt, m_isResuming, at);
        m_state.metrics.record(m_isResuming ? LatencyKind::ResumeGap : LatencyKind::EventGap, at - m_lastEventAt);
        m_longestEventGap = std::max(m_longestEventGap, at - m_lastEventAt);
    }
    m_isResuming = false;
    m_lastEventAt = at;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::writeEvent(const forward::StreamEvent& event)
{
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.bytes.size());
    std::string chunk(size.data());
    m_client.write(chunk.append(event.bytes).append("\r\n"));
    if (m_isEnded || !m_attempt->connection || m_client.pendingBytes() <= maxPendingClientBytes)
        return;
    m_attempt->isReadingPaused = true;
    m_attempt->connection->setReadingPaused(true);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::onUpstreamComplete(Upstream& connection)
{
    if (isKept(connection)) {
        if (auto failure = failureOfKeptEnd(attemptOf(connection))) {
            failAttempt(connection, *failure);
            return;
        }
        goOnWithKept();
    }
    if (isEventStream())
        finishStream();
    else
        finishBufferedResponse();
}

template<HeaderCodec Codec, typename Worker>
bool Session<Codec, Worker>::isCutOff(const Attempt& attempt)
{
    // The end of the connection alone does not tell a stream without events from a crash.
    return (!attempt.hasResponseLength && !attempt.hasEventContent) || attempt.splitter.hasPartial();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::finishStream()
{
    if (isCutOff(*m_attempt)) {
        endAttempt(forward::AttemptOutcome::LostDuringResponse);
        return;
    }
    auto outcome = m_exchange->judgeStreamEnd();
    if (outcome != forward::AttemptOutcome::Completed) {
        LOG(WARNING) << log::LogLine("stream_end_unconfirmed").with("request", m_requestMetadata.attempt.text).with("upstream", m_attempt->parameters.placement.target.id.text).text();
        endAttempt(outcome);
        return;
    }
    releaseUpstream(std::move(m_attempt->connection));
    recordAttempt(*m_attempt, forward::AttemptOutcome::Completed);
    execute(m_exchange->attemptEnded(forward::AttemptOutcome::Completed, now(), random()));
}

// To a client, these statuses promise that the request was not run. Only the upstream's own statement proves it, so they
// are not forwarded without one.
inline bool promisesNotRun(unsigned status)
{
    static constexpr std::array statuses { 408U, 421U, 429U, 503U };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

template<HeaderCodec Codec, typename Worker>
forward::AttemptOutcome Session<Codec, Worker>::classifyResponse(const Attempt& attempt) const
{
    using forward::AttemptOutcome;
    const auto& metadata = attempt.metadata;
    if (metadata.isMisdirected)
        return AttemptOutcome::Misdirected;
    if (metadata.isNotExecuted)
        return attempt.parameters.usesBackup ? AttemptOutcome::BackupMissing : AttemptOutcome::NotRun;
    if (promisesNotRun(metadata.status))
        return AttemptOutcome::Malformed;
    if (metadata.status >= 500)
        return AttemptOutcome::UpstreamError;
    if (metadata.status / 100 == 2 && !metadata.isSigned)
        return AttemptOutcome::Malformed;
    // Only events can continue a stream that the client is reading.
    if (m_exchange->areHeadersSent())
        return AttemptOutcome::Malformed;
    return metadata.status / 100 == 2 ? AttemptOutcome::Completed : AttemptOutcome::Rejected;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::finishBufferedResponse()
{
    auto outcome = classifyResponse(*m_attempt);
    releaseUpstream(std::move(m_attempt->connection));
    recordAttempt(*m_attempt, outcome);
    if (outcome == forward::AttemptOutcome::NotRun)
        LOG(INFO) << log::LogLine("attempt_refused").with("request", m_requestMetadata.attempt.text).with("body", m_attempt->response.body).with("headers", serializeHeaders(m_attempt->response.headers)).text();
    // The response does not tell whether the upstream itself refused the request or could not reach the backup.
    bool isPossibleBackupRefusal = outcome == forward::AttemptOutcome::NotRun && m_attempt->response.status == 503 && m_attempt->parameters.placement.backup;
    // Only a complete response to this request may be delivered later.
    if (outcome == forward::AttemptOutcome::UpstreamError)
        m_failureResponse = std::move(m_attempt->response);
    if (!forward::isDeliverable(outcome))
        m_attempt->response = {};
    if (isPossibleBackupRefusal) {
        execute(m_exchange->backupRefused(now(), random()));
        return;
    }
    execute(m_exchange->attemptEnded(outcome, now(), random()));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::onUpstreamFailure(Upstream& connection, ConnectionFailure kind)
{
    if (&connection == m_probe.get()) {
        endFailedProbe();
        return;
    }
    switch (kind) {
    case ConnectionFailure::NotConnected:
        failAttempt(connection, forward::AttemptOutcome::NotConnected);
        return;
    case ConnectionFailure::BeforeResponse:
        failAttempt(connection, forward::AttemptOutcome::LostBeforeResponse);
        return;
    case ConnectionFailure::DuringResponse:
        failAttempt(connection, forward::AttemptOutcome::LostDuringResponse);
        return;
    case ConnectionFailure::Malformed:
        failAttempt(connection, forward::AttemptOutcome::Malformed);
        return;
    }
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::endAttempt(forward::AttemptOutcome outcome)
{
    recordAttempt(*m_attempt, outcome);
    closeUpstream();
    discardResponse();
    m_isResuming = m_exchange->areHeadersSent();
    execute(m_exchange->attemptEnded(outcome, now(), random()));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::discardResponse()
{
    m_attempt->response = {};
    m_attempt->isEventStream = false;
}

template<HeaderCodec Codec, typename Worker>
bool Session<Codec, Worker>::decideClientConnection()
{
    m_keepsClientConnection = m_clientRequest.keep_alive() && !m_state.isDraining();
    return m_keepsClientConnection;
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::writeResponseHeaders(const BufferedResponse& response, std::string_view framing)
{
    auto headers = response.headers;
    removeHopByHopHeaders(headers);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text.append(boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status))).append("\r\n");
    text.append(serializeHeaders(headers)).append(framing);
    text.append(persistenceHeaders(decideClientConnection() ? std::optional(m_client.announceIdleTimeout()) : std::nullopt));
    m_exchange->recordHeadersSent();
    m_client.write(text.append("\r\n"));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::deliverResponse()
{
    auto status = m_attempt->response.status;
    if (isEventStream()) {
        if (!m_exchange->areHeadersSent())
            writeResponseHeaders(m_attempt->response, "Transfer-Encoding: chunked\r\n");
        m_client.write("0\r\n\r\n");
    } else {
        // The buffered failure response is delivered if no later attempt returned a response.
        const auto& chosen = m_attempt->response.status || !m_failureResponse ? m_attempt->response : *m_failureResponse;
        status = chosen.status;
        std::string length(chosen.headers[boost::beast::http::field::content_length]);
        if (!isHeadRequest() || length.empty())
            length = std::to_string(chosen.body.size());
        writeResponseHeaders(chosen, "Content-Length: " + length + "\r\n");
        m_client.write(chosen.body);
        // The client may have reset its connection, which ends the session.
        if (m_isEnded)
            return;
        m_state.metrics.record(LatencyKind::Response, now() - m_arrivedAt);
        m_state.recorder.recordFirstToken(m_requestSettings, now() - m_arrivedAt, m_exchange->possibleRuns() > 1, now());
    }
    if (m_isEnded)
        return;
    auto& client = m_client;
    end(status < 500 ? SessionOutcome::Completed : SessionOutcome::UpstreamError);
    client.finishResponse(m_keepsClientConnection, now());
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::sendLocalResponse(const LocalResponse& response, SessionOutcome outcome)
{
    m_errorCode = response.code;
    auto complete = response;
    complete.isHeadRequest = isHeadRequest();
    if (decideClientConnection())
        complete.idleTimeout = m_client.announceIdleTimeout();
    m_client.write(serializeLocalResponse(complete));
    if (m_isEnded)
        return;
    auto& client = m_client;
    LOG(INFO) << log::LogLine("answered_itself").with("request", m_requestMetadata.attempt.text).with("status", response.status).with("code", base::nameOf(response.code)).text();
    end(outcome);
    client.finishResponse(m_keepsClientConnection, now());
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::abortResponse(SessionOutcome outcome, base::ResultCode code)
{
    m_errorCode = code;
    auto& client = m_client;
    end(outcome);
    client.disconnect();
}

} // namespace redwingseam::gateway
