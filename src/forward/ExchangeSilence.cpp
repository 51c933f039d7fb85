// The part of an Exchange that judges the silence of an upstream.

#include "base/ScaledDuration.h"
#include "forward/Exchange.h"

namespace redwingseam::forward {

using base::scaled;

Step Exchange::replaceSilentAttempt(SilenceReason reason, base::Instant now, uint64_t random)
{
    // One of two attempts that may run is decided on first.
    if (m_kept && !m_attempt.isConnecting)
        return {};
    auto outcome = silentOutcome(m_attempt);
    auto possibleRuns = this->possibleRuns() + (mayHaveRun(outcome) ? 1 : 0);
    auto reachedAttempts = m_reachedAttempts + (outcome == AttemptOutcome::NotConnected ? 0 : 1);
    if (!isRetryAllowed(outcome, possibleRuns, reachedAttempts, now))
        return {};
    bool isKept = isStream() && !m_attempt.isConnecting;
    auto backup = backupAddressOf(m_kept ? *m_kept : m_attempt);
    auto nextQuery = query(now, random);
    nextQuery.excluded.push_back(m_attempt.placement->target.id);
    if (backup)
        nextQuery.preferredAddress = backup;
    // Before its first event either attempt may begin the stream, and its record names one version.
    bool isVersionOpen = isKept && !m_origin;
    if (isVersionOpen)
        nextQuery.version = m_attempt.placement->target.version;
    auto next = m_fleet.place(nextQuery);
    if (!next && isVersionOpen) {
        isKept = false;
        nextQuery.version = {};
        next = m_fleet.place(nextQuery);
    }
    if (!next) {
        readmitUnserved(now);
        return {};
    }
    if (!acquireRetry(outcome, now)) {
        m_fleet.release(*next);
        return {};
    }
    auto replaced = describeSilence(reason, now);
    replaced.isKept = isKept;
    if (isKept)
        m_kept = m_attempt;
    else
        recordAttemptEnd(m_attempt, outcome, now);
    if (m_kept)
        m_backupAddress = backup;
    auto step = send(std::move(*next), now);
    step.send.replaced = replaced;
    return step;
}

Step Exchange::goBack()
{
    m_attempt = std::move(*m_kept);
    m_kept.reset();
    m_attempt.isProbing = false;
    return { StepKind::GoBack };
}

void Exchange::recordKeptActivity(base::Instant now)
{
    if (!m_kept)
        return;
    m_kept->isUnreachable = false;
    m_kept->lastActivity = now;
    m_fleet.recordContact(m_kept->placement->target, now);
}

void Exchange::keptAttemptGoesOn(base::Instant now)
{
    if (!m_kept)
        return;
    if (m_attempt.isConnecting) {
        m_hasUnusedRetry = true;
    } else {
        ++m_possibleRuns;
        ++m_reachedAttempts;
        m_mayHaveRun = true;
    }
    release();
    goBack();
    recordActivity(now);
    m_fleet.clearSuspicion(m_attempt.placement->target);
    recordStart(now);
}

void Exchange::keptAttemptEnded(AttemptOutcome outcome, base::Instant now)
{
    if (!m_kept)
        return;
    auto ended = std::move(*m_kept);
    m_kept.reset();
    recordAttemptEnd(ended, outcome, now);
    // The current attempt was sent with what there is.
    m_backupAddress.reset();
}

void Exchange::dropKeptAttempt(base::Instant now)
{
    keptAttemptEnded(AttemptOutcome::Silent, now);
}

bool Exchange::isKeptAttemptOverdue(base::Instant now) const
{
    return m_kept && !m_attempt.isConnecting && now - m_attempt.writtenAt >= m_policy.keepBesideReplacement;
}

SilentAttempt Exchange::describeSilence(SilenceReason reason, base::Instant now) const
{
    auto since = [&](base::Instant at) { return at == base::Instant {} ? std::nullopt : std::optional(now - at); };
    SilentAttempt attempt;
    attempt.reason = reason;
    attempt.silence = now - m_attempt.lastActivity;
    if (m_attempt.hasEvent)
        attempt.sinceEvent = since(m_attempt.lastProgress);
    attempt.sinceContact = since(m_fleet.lastContactAt(m_attempt.placement->target));
    attempt.sinceAnyContact = since(m_fleet.lastContactAt(m_request.service));
    return attempt;
}

Step Exchange::probeEnded(bool isReachable, base::Instant now, uint64_t random)
{
    m_attempt.isProbing = false;
    m_attempt.lastProbe = now;
    if (!m_attempt.placement)
        return {};
    m_attempt.isUnreachable = !isReachable;
    if (isReachable) {
        m_fleet.recordContact(m_attempt.placement->target, now);
        return {};
    }
    // Other requests must avoid the upstream even if this one has to stay.
    m_fleet.suspect(m_attempt.placement->target, silentOutcome(m_attempt) == AttemptOutcome::NotConnected ? fleet::SuspicionCause::Unreachable : fleet::SuspicionCause::Silent, now);
    return replaceSilentAttempt(SilenceReason::Unreachable, now, random);
}

// The last attempt may take until the deadline. An earlier one must bring its whole response within the objective,
// however steadily its bytes arrive.
bool Exchange::isIdempotentAttemptLate(base::Instant now) const
{
    const auto& route = *m_request.route;
    if (m_possibleRuns + 1 >= route.maxAttempts)
        return false;
    bool isSilent = now - m_attempt.lastActivity > scaled(route.latencyObjective, m_policy.attemptTimeoutShare);
    return isSilent || now - m_attempt.sentAt > route.latencyObjective;
}

// Before its first event begins, a stream may wait for its prefill.
bool Exchange::isStreamStalled(base::Instant now) const
{
    return m_attempt.lastProgress != base::Instant {} && now - m_attempt.lastProgress > scaled(m_request.route->gapObjective, m_policy.abandonGapMultiple);
}

Step Exchange::handleSilence(base::Instant now, uint64_t random)
{
    const auto& route = *m_request.route;
    if (route.kind == manifest::RouteKind::Idempotent)
        return isIdempotentAttemptLate(now) ? replaceSilentAttempt(SilenceReason::Late, now, random) : Step {};
    if (!isStream() || !route.isResumable || m_attempt.isProbing)
        return {};
    if (m_attempt.isUnreachable || isStreamStalled(now)) {
        auto step = replaceSilentAttempt(m_attempt.isUnreachable ? SilenceReason::Unreachable : SilenceReason::Stalled, now, random);
        if (step.kind != StepKind::Wait)
            return step;
    }
    auto wait = m_attempt.hasEvent ? scaled(route.gapObjective, m_policy.probeAfterGapShare) : m_policy.probeInterval;
    // Upstreams fail together during an outage of their data centre, so one additional probe is enough.
    bool isOutageSuspected = m_fleet.isOutageSuspected(m_attempt.placement->target, now);
    if (isOutageSuspected && !m_attempt.isProbedDuringOutage)
        wait = std::min(wait, m_policy.outageProbeDelay);
    // Bytes of another stream from the same upstream prove as much as a probe does.
    auto lastContactAt = std::max(m_attempt.lastActivity, m_fleet.lastContactAt(m_attempt.placement->target));
    if (now - lastContactAt < wait || now - m_attempt.lastProbe < wait)
        return {};
    m_attempt.isProbing = true;
    m_attempt.isProbedDuringOutage = isOutageSuspected;
    m_attempt.lastProbe = now;
    return { StepKind::Probe };
}

} // namespace redwingseam::forward
