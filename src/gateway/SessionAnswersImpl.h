#pragma once

#include "gateway/HeaderRules.h"
#include "gateway/Session.h"

#include "log/LogLine.h"

#include <boost/beast/http/status.hpp>
#include <glog/logging.h>

namespace redwingseam::gateway {

template<Dialect Names, typename Worker>
void Session<Names, Worker>::onUpstreamConnected(Upstream& connection)
{
    if (&connection != m_probe.get()) {
        m_exchange->noteProgress(now());
        writeRequest();
        return;
    }
    m_state.metrics.countProbe(true);
    keepUpstream(std::move(m_probe));
    carry(m_exchange->probeEnded(true, now(), random()));
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::onUpstreamHead(Upstream& connection, const boost::beast::http::fields& headers, bool hasLength)
{
    const auto& head = static_cast<const boost::beast::http::response_header<>&>(headers);
    auto facts = Names::readAnswer(head.result_int(), headers);
    // A late answer to an earlier request; the one that is waited for follows it.
    if (!facts.attempt.empty() && facts.attempt != m_facts.attempt) {
        connection.skipAnswer();
        return;
    }
    m_exchange->noteProgress(now());
    m_answerFacts = facts;
    m_answer.status = facts.status;
    m_answer.headers = headers;
    if (!hasLength)
        LOG(INFO) << log::LogLine("answer_without_length").with("request", m_facts.attempt.text).with("status", facts.status).with("headers", headerText(headers)).text();
    m_isEventStream = m_exchange->request().route->kind == manifest::RouteKind::Stream && facts.status == 200 && facts.isSigned;
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::onUpstreamBody(Upstream&, std::string_view bytes)
{
    if (!isEventStream()) {
        m_answer.body.append(bytes);
        return;
    }
    m_exchange->noteProgress(now());
    for (const auto& event : m_splitter.push(bytes)) {
        passEvent(event);
        if (m_isEnded)
            return;
    }
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::passEvent(const forward::StreamEvent& event)
{
    auto last = m_exchange->lastEventId();
    if (event.id && last && *event.id <= *last) {
        LOG(WARNING) << log::LogLine("event_repeated").with("request", m_facts.attempt.text).with("event_id", *event.id).with("last_event", *last).text();
        return;
    }
    auto at = now();
    if (!m_exchange->isHeadSent()) {
        writeHead(m_answer, "Transfer-Encoding: chunked\r\n");
        if (m_isEnded)
            return;
        m_state.metrics.record(LatencyKind::Response, at - m_arrivedAt);
        m_state.levels.recordFirstToken(m_policy, at - m_arrivedAt, m_exchange->runs() > 0, at);
    } else {
        m_state.levels.recordGap(m_policy, at - m_lastEventAt, m_isResuming, at);
        m_state.metrics.record(m_isResuming ? LatencyKind::ResumeGap : LatencyKind::EventGap, at - m_lastEventAt);
    }
    if (m_firstEventAt == base::Instant {})
        m_firstEventAt = at;
    else
        m_longestGap = std::max(m_longestGap, at - m_lastEventAt);
    m_isResuming = false;
    m_lastEventAt = at;
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.bytes.size());
    std::string chunk(size.data());
    chunk.append(event.bytes).append("\r\n");
    m_exchange->noteEvent(event.id.value_or(last.value_or(0)), at);
    m_client.write(chunk);
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::onUpstreamComplete(Upstream&)
{
    if (isEventStream())
        finishStream();
    else
        finishPlain();
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::finishStream()
{
    if (m_splitter.hasPartial()) {
        endAttempt(forward::AttemptOutcome::LostInAnswer);
        return;
    }
    keepUpstream(std::move(m_upstream));
    logAttempt(forward::AttemptOutcome::Answered, m_order.placement.target);
    carry(m_exchange->attemptEnded(forward::AttemptOutcome::Answered, now(), random()));
}

template<Dialect Names, typename Worker>
forward::AttemptOutcome Session<Names, Worker>::judge(const AnswerFacts& facts) const
{
    using forward::AttemptOutcome;
    if (facts.isMisdirected)
        return AttemptOutcome::Misdirected;
    if (facts.isNotRun)
        return m_order.usesCopy ? AttemptOutcome::CopyMissing : AttemptOutcome::NotRun;
    if (facts.status >= 500)
        return AttemptOutcome::AnsweredFailure;
    if (facts.status / 100 == 2 && !facts.isSigned)
        return AttemptOutcome::Garbled;
    return AttemptOutcome::Answered;
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::finishPlain()
{
    auto outcome = judge(m_answerFacts);
    keepUpstream(std::move(m_upstream));
    logAttempt(outcome, m_order.placement.target);
    if (outcome == forward::AttemptOutcome::NotRun)
        LOG(INFO) << log::LogLine("attempt_refused").with("request", m_facts.attempt.text).with("body", m_answer.body).with("headers", headerText(m_answer.headers)).text();
    bool mayLackBackup = outcome == forward::AttemptOutcome::NotRun && m_answer.status == 503 && m_order.placement.backup;
    // Only a whole answer that is the client's may be delivered later.
    if (outcome == forward::AttemptOutcome::AnsweredFailure)
        m_failure = std::move(m_answer);
    if (outcome != forward::AttemptOutcome::Answered)
        m_answer = {};
    if (mayLackBackup) {
        carry(m_exchange->backupRefused(now(), random()));
        return;
    }
    carry(m_exchange->attemptEnded(outcome, now(), random()));
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::onUpstreamBroken(Upstream& connection, BreakKind kind)
{
    if (&connection == m_probe.get()) {
        m_worker.retire(std::move(m_probe));
        m_state.metrics.countProbe(false);
        carry(m_exchange->probeEnded(false, now(), random()));
        return;
    }
    switch (kind) {
    case BreakKind::NotConnected:
        endAttempt(forward::AttemptOutcome::NotConnected);
        return;
    case BreakKind::BeforeAnswer:
        endAttempt(forward::AttemptOutcome::LostBeforeAnswer);
        return;
    case BreakKind::InAnswer:
        endAttempt(forward::AttemptOutcome::LostInAnswer);
        return;
    case BreakKind::Malformed:
        endAttempt(forward::AttemptOutcome::Garbled);
        return;
    }
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::endAttempt(forward::AttemptOutcome outcome)
{
    logAttempt(outcome, m_order.placement.target);
    dropUpstream();
    m_answer = {};
    m_isResuming = m_exchange->isHeadSent();
    carry(m_exchange->attemptEnded(outcome, now(), random()));
}

template<Dialect Names, typename Worker>
bool Session<Names, Worker>::keepsClient() const
{
    return m_message.keep_alive() && !m_state.isDraining();
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::writeHead(const StoredAnswer& answer, std::string_view framing)
{
    auto headers = answer.headers;
    removeConnectionHeaders(headers);
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    text.append(boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(answer.status))).append("\r\n");
    text.append(headerText(headers)).append(framing);
    if (!keepsClient())
        text.append("Connection: close\r\n");
    m_exchange->noteHeadSent();
    m_client.write(text.append("\r\n"));
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::deliver()
{
    bool keeps = keepsClient();
    auto status = m_answer.status;
    if (isEventStream()) {
        if (!m_exchange->isHeadSent())
            writeHead(m_answer, "Transfer-Encoding: chunked\r\n");
        m_client.write("0\r\n\r\n");
    } else {
        // A failure that was kept back is delivered if nothing better came.
        const auto& chosen = m_answer.status || !m_failure ? m_answer : *m_failure;
        status = chosen.status;
        bool isHead = m_message.method() == boost::beast::http::verb::head;
        std::string length(chosen.headers[boost::beast::http::field::content_length]);
        if (!isHead || length.empty())
            length = std::to_string(chosen.body.size());
        writeHead(chosen, "Content-Length: " + length + "\r\n");
        m_client.write(chosen.body);
        m_state.metrics.record(LatencyKind::Response, now() - m_arrivedAt);
        m_state.levels.recordFirstToken(m_policy, now() - m_arrivedAt, m_exchange->runs() > 1, now());
    }
    if (m_isEnded)
        return;
    auto& client = m_client;
    end(status < 500 ? SessionEnd::Answered : SessionEnd::AnsweredFailure);
    client.finishAnswer(keeps, now());
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::answerItself(const OwnAnswer& answer, SessionEnd how)
{
    m_code = answer.code;
    auto complete = answer;
    complete.keepsAlive = keepsClient();
    m_client.write(ownAnswerText(complete));
    if (m_isEnded)
        return;
    auto& client = m_client;
    LOG(INFO) << log::LogLine("answered_itself").with("request", m_facts.attempt.text).with("status", answer.status).with("code", base::nameOf(answer.code)).text();
    end(how);
    client.finishAnswer(complete.keepsAlive, now());
}

template<Dialect Names, typename Worker>
void Session<Names, Worker>::breakOff(SessionEnd how, base::ResultCode code)
{
    m_code = code;
    auto& client = m_client;
    end(how);
    client.close();
}

} // namespace redwingseam::gateway
