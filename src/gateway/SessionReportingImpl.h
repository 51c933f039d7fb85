#pragma once

// Log lines, metrics and report entries of a session.

#include "forward/FormatParts.h"
#include "gateway/Session.h"
#include "log/LogLine.h"

#include <glog/logging.h>
#include <utility>

namespace redwingseam::gateway {

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::recordOutcome(SessionOutcome outcome)
{
    bool hasRoute = m_requestSettings.objectivePermille > 0;
    if (!hasRoute || outcome == SessionOutcome::ClientDisconnected || outcome == SessionOutcome::Rejected)
        return;
    if (outcome != SessionOutcome::Completed) {
        m_state.recorder.countRefusal(m_requestSettings, outcome == SessionOutcome::UpstreamError ? base::ResultCode::RetriesExhausted : m_errorCode, now());
        return;
    }
    m_state.recorder.recordFinish(m_requestSettings, now());
    if (m_firstEventAt != base::Instant {})
        m_state.streamDurations.record(now() - m_firstSentAt);
}

inline uint64_t millisOf(base::Duration duration)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::logOutcome(SessionOutcome outcome) const
{
    log::LogLine line("request_ended");
    line.with("request", m_requestMetadata.attempt.text).with("outcome", base::nameOf(outcome)).with("took_ms", millisOf(now() - m_arrivedAt));
    if (m_exchange)
        line.with("route", m_exchange->request().route->name.text).with("sends", m_exchange->sends()).with("runs", m_exchange->possibleRuns());
    if (m_firstEventAt != base::Instant {})
        line.with("first_event_ms", millisOf(m_firstEventAt - m_arrivedAt)).with("longest_gap_ms", millisOf(m_longestEventGap));
    LOG(INFO) << line.text();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::logAdmission(const forward::Admission& admission) const
{
    log::LogLine line("request_arrived");
    line.with("request", m_requestMetadata.attempt.text).with("outcome", base::nameOf(admission.code));
    if (admission.route)
        line.with("route", admission.route->name.text);
    if (admission.account)
        line.with("client", admission.account->name.text);
    auto manifestState = m_state.manifest.state();
    auto ageMs = [&](base::Instant since) { return millisOf(now() - since); };
    if (manifestState.index)
        line.with("manifest_version", manifestState.index->manifest().version).with("manifest_age_ms", ageMs(manifestState.confirmedAt));
    if (m_state.fleet.listedAt() != base::Instant {})
        line.with("upstreams_age_ms", ageMs(m_state.fleet.listedAt()));
    if (m_exchange && !m_requestMetadata.promptParts.empty())
        line.with("parts", forward::formatParts(m_exchange->request().promptParts));
    if (m_requestMetadata.lastEventId)
        line.with("last_event", *m_requestMetadata.lastEventId).with("resumes", m_requestMetadata.resumedAttempt.text);
    if (auto drainStart = m_state.drainStartedAt.load(); drainStart != base::Instant {})
        line.with("stopping_ms", ageMs(drainStart));
    LOG(INFO) << line.text();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::logNoResources()
{
    if (std::exchange(m_isNoResourcesLogged, true))
        return;
    LOG(WARNING) << log::LogLine("connect_without_resources").with("request", m_requestMetadata.attempt.text).with("upstream", m_attempt->parameters.placement.target.id.text).text();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::recordAttempt(const Attempt& attempt, forward::AttemptOutcome outcome) const
{
    const auto& upstream = attempt.parameters.placement.target;
    m_state.metrics.countAttempt(outcome);
    log::LogLine line("attempt_ended");
    line.with("request", m_requestMetadata.attempt.text).with("outcome", base::nameOf(outcome)).with("upstream", upstream.id.text).with("data_centre", upstream.dataCentre.text).with("version", upstream.version.text);
    line.with("connection", attempt.isPooledConnection ? "kept" : "new");
    if (attempt.response.status)
        line.with("status", attempt.response.status);
    if (attempt.parameters.placement.backup)
        line.with("backup", attempt.parameters.placement.backup->id.text);
    if (attempt.parameters.usesBackup)
        line.with("from_copy", 1);
    if (m_exchange && !forward::isDeliverable(outcome))
        line.with("fingerprint", m_exchange->request().fingerprint.value).with("parts", forward::formatParts(m_exchange->request().promptParts)).with("sent_ms", millisOf(now() - attempt.sentAt)).with("partial_bytes", attempt.response.body.size() + attempt.splitter.partialBytes());
    if (m_exchange && m_exchange->lastEventId())
        line.with("last_event", *m_exchange->lastEventId());
    LOG(INFO) << line.text();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::logReplacement(const forward::SilentAttempt& silent, const fleet::UpstreamInstance& next) const
{
    log::LogLine line("attempt_replaced");
    line.with("request", m_requestMetadata.attempt.text).with("upstream", m_attempt->parameters.placement.target.id.text).with("reason", base::nameOf(silent.reason)).with("silent_ms", millisOf(silent.silence));
    if (silent.sinceEvent)
        line.with("since_event_ms", millisOf(*silent.sinceEvent));
    if (silent.sinceContact)
        line.with("since_contact_ms", millisOf(*silent.sinceContact));
    if (silent.sinceAnyContact)
        line.with("since_any_contact_ms", millisOf(*silent.sinceAnyContact));
    if (silent.expectedFirstEvent != base::Duration {})
        line.with("expected_first_event_ms", millisOf(silent.expectedFirstEvent));
    LOG(WARNING) << line.with("kept", silent.isKept ? 1 : 0).with("next", next.id.text).with("next_data_centre", next.dataCentre.text).text();
}

template<HeaderCodec Codec, typename Worker>
void Session<Codec, Worker>::logFailedProbe()
{
    if (std::exchange(m_attempt->isFailedProbeLogged, true))
        return;
    const auto& target = m_attempt->parameters.placement.target;
    log::LogLine line("probe_failed");
    line.with("request", m_requestMetadata.attempt.text).with("upstream", target.id.text).with("data_centre", target.dataCentre.text);
    if (auto last = m_state.fleet.lastContactAt(target.service); last != base::Instant {})
        line.with("since_any_contact_ms", millisOf(now() - last));
    LOG(WARNING) << line.text();
}

} // namespace redwingseam::gateway
