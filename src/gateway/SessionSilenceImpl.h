#pragma once

// What a session does while an upstream is silent: probes, and two attempts of which one goes on.

#include "gateway/Session.h"
#include "log/LogLine.h"

#include <glog/logging.h>

namespace redwingseam::gateway {

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::startProbe()
{
    m_probe = std::make_unique<Upstream>(m_worker.loop(), m_attempt->parameters.placement.target);
    m_probe->setOwner(this);
    switch (m_probe->connect(now())) {
    case ConnectStart::Started:
        return;
    case ConnectStart::NoResources:
        logNoResources();
        m_worker.retire(std::move(m_probe));
        m_exchange->probeNotStarted();
        return;
    }
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::endFailedProbe()
{
    m_worker.retire(std::move(m_probe));
    m_state.metrics.countProbe(false);
    logFailedProbe();
    auto step = m_exchange->probeEnded(false, now(), random());
    if (step.kind == forward::StepKind::Send)
        recordReplacement(step.send);
    execute(std::move(step));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::recordReplacement(const forward::SendParameters& next)
{
    if (next.replaced)
        logReplacement(*next.replaced, next.placement.target);
    if (next.replaced && next.replaced->isKept)
        return;
    bool isConnected = m_attempt->connection && m_attempt->connection->isConnected();
    recordAttempt(*m_attempt, isConnected ? forward::AttemptOutcome::Silent : forward::AttemptOutcome::NotConnected);
    m_isResuming = m_exchange->areHeadersSent();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::recordActivity(const Upstream& connection)
{
    if (isKept(connection))
        m_exchange->recordKeptActivity(now());
    else
        m_exchange->recordActivity(now());
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::keepAttempt()
{
    closeConnection(m_probe);
    if (m_kept)
        closeKept(forward::AttemptOutcome::Silent);
    m_kept = std::exchange(m_attempt, std::make_unique<Attempt>(m_state.buffers));
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::goBack()
{
    m_attempt = std::move(m_kept);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::goOnWithKept()
{
    const auto& other = m_attempt->parameters.placement.target;
    bool isConnected = m_attempt->connection && m_attempt->connection->isConnected();
    LOG(WARNING) << log::LogLine("attempt_went_on").with("request", m_requestMetadata.attempt.text).with("upstream", m_kept->parameters.placement.target.id.text).with("other", other.id.text).with("other_was_sent", isConnected ? 1 : 0).text();
    closeUpstream();
    m_exchange->keptAttemptGoesOn(now());
    goBack();
}

template<HeaderCodec Codec, typename Worker>
std::optional<forward::AttemptOutcome> Session<Codec, Worker>::failureOfKeptEnd(Attempt& attempt)
{
    using forward::AttemptOutcome;
    if (attempt.isEventStream) {
        if (isCutOff(attempt))
            return AttemptOutcome::LostDuringResponse;
        // An end without a new event is not confirmed.
        return m_exchange->areHeadersSent() && !attempt.hasEventContent ? std::optional(AttemptOutcome::Malformed) : std::nullopt;
    }
    auto outcome = classifyResponse(attempt);
    if (outcome == AttemptOutcome::UpstreamError)
        m_failureResponse = std::move(attempt.response);
    return forward::isDeliverable(outcome) ? std::nullopt : std::optional(outcome);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::followExchange()
{
    if (m_kept && !m_exchange->isAttemptKept())
        closeKept(forward::AttemptOutcome::Silent);
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::closeKept(forward::AttemptOutcome outcome)
{
    recordAttempt(*m_kept, outcome);
    closeConnection(m_kept->connection);
    m_kept.reset();
    m_isResuming = m_exchange->areHeadersSent();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::failAttempt(const Upstream& connection, forward::AttemptOutcome outcome)
{
    if (!isKept(connection)) {
        endAttempt(outcome);
        return;
    }
    closeKept(outcome);
    m_exchange->keptAttemptEnded(outcome, now());
}

} // namespace redwingseam::gateway
