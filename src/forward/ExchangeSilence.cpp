// The part of an Exchange that judges the silence of an upstream.

#include "base/ScaledDuration.h"
#include "forward/Exchange.h"

#include <algorithm>

namespace redwingseam::forward {

using base::scaled;

Step Exchange::replaceSilentAttempt(SilenceReason reason, base::Instant now, uint64_t random)
{
    // One of two runs of a stream is decided on first.
    if (isStream() && m_attempts.mayBothRun())
        return {};
    auto outcome = m_attempts.current().silentOutcome();
    auto possibleRuns = this->possibleRuns() + (mayHaveRun(outcome) ? 1 : 0);
    auto reachedAttempts = m_reachedAttempts + (outcome == AttemptOutcome::NotConnected ? 0 : 1);
    if (!isRetryAllowed(outcome, possibleRuns, reachedAttempts, now))
        return {};
    bool isKept = !m_attempts.current().isConnecting;
    auto backup = m_attempts.backupAddress();
    auto nextQuery = query(now, random);
    nextQuery.excluded.push_back(m_attempts.current().placement->target.id);
    if (backup)
        nextQuery.preferredAddress = backup;
    // Before its first event either attempt may begin the stream, and its record names one version.
    bool isVersionOpen = isStream() && isKept && !m_origin;
    if (isVersionOpen)
        nextQuery.version = m_attempts.current().placement->target.version;
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
    if (isKept) {
        // At most two run side by side.
        dropKeptAttempt(now);
        // Other requests must avoid the upstream while this one waits for it.
        if (reason == SilenceReason::Late) {
            m_fleet.suspect(m_attempts.current().placement->target, fleet::SuspicionCause::Silent, now);
            m_attempts.current().isSuspectedAsLate = true;
        }
        m_attempts.keepCurrent();
    } else {
        recordAttemptEnd(m_attempts.current(), outcome, now);
    }
    if (isAttemptKept())
        m_backupAddress = backup;
    auto step = send(std::move(*next), now);
    step.send.replaced = replaced;
    return step;
}

Step Exchange::goBack(bool isBackupMissing)
{
    m_attempts.goBack(isBackupMissing);
    return { StepKind::GoBack };
}

void Exchange::recordKeptActivity(base::Instant now)
{
    m_attempts.recordKeptActivity(now);
    if (const auto& kept = m_attempts.kept())
        m_fleet.recordContact(kept->placement->target, now);
}

void Exchange::keptAttemptGoesOn(base::Instant now)
{
    if (!isAttemptKept())
        return;
    if (m_attempts.current().isConnecting) {
        m_hasUnusedRetry = true;
    } else {
        ++m_possibleRuns;
        ++m_reachedAttempts;
        m_mayHaveRun = true;
    }
    release();
    goBack();
    recordActivity(now);
    m_fleet.clearSuspicion(m_attempts.current().placement->target);
    recordStart(now);
}

void Exchange::keptAttemptEnded(AttemptOutcome outcome, base::Instant now)
{
    auto ended = m_attempts.takeKept();
    if (!ended)
        return;
    recordAttemptEnd(*ended, outcome, now);
    // The current attempt was sent with what there is.
    m_backupAddress.reset();
}

void Exchange::dropKeptAttempt(base::Instant now)
{
    keptAttemptEnded(AttemptOutcome::Silent, now);
}

SilentAttempt Exchange::describeSilence(SilenceReason reason, base::Instant now) const
{
    auto since = [&](base::Instant at) { return at == base::Instant {} ? std::nullopt : std::optional(now - at); };
    SilentAttempt attempt;
    attempt.reason = reason;
    attempt.silence = now - m_attempts.current().lastActivity;
    if (m_attempts.current().hasEvent)
        attempt.sinceEvent = since(m_attempts.current().lastProgress);
    attempt.sinceContact = since(m_fleet.lastContactAt(m_attempts.current().placement->target));
    attempt.sinceAnyContact = since(m_fleet.lastContactAt(m_request.service));
    attempt.expectedFirstEvent = m_fleet.firstEventTime(m_request.service, now);
    return attempt;
}

Step Exchange::probeEnded(bool isReachable, base::Instant now, uint64_t random)
{
    m_attempts.current().isProbing = false;
    m_attempts.current().lastProbe = now;
    if (!m_attempts.current().placement)
        return {};
    m_attempts.current().isUnreachable = !isReachable;
    if (isReachable) {
        m_fleet.recordContact(m_attempts.current().placement->target, now);
        return {};
    }
    // Other requests must avoid the upstream even if this one has to stay.
    m_fleet.suspect(m_attempts.current().placement->target, m_attempts.current().silentOutcome() == AttemptOutcome::NotConnected ? fleet::SuspicionCause::Unreachable : fleet::SuspicionCause::Silent, now);
    return replaceSilentAttempt(SilenceReason::Unreachable, now, random);
}

// The last attempt may take until the deadline. An earlier one must bring its whole response within the objective,
// however steadily its bytes arrive.
bool Exchange::isIdempotentAttemptLate(base::Instant now) const
{
    const auto& route = *m_request.route;
    if (possibleRuns() + 1 >= route.maxAttempts)
        return false;
    // Where the upstreams are full, responses are late for that reason, and a second run takes the room of another request.
    if (isCrowdingBounded() && m_fleet.isCrowded(m_request.service, now))
        return false;
    bool isSilent = now - m_attempts.current().lastActivity > scaled(route.latencyObjective, m_policy.attemptTimeoutShare);
    return isSilent || now - m_attempts.current().sentAt > route.latencyObjective;
}

// Answers the load pattern of engines that read prompts all the time, so that all streams are slow: one that moves has its
// prompt read again behind the others, ends later than it would have, and slows down the rest.
base::Duration Exchange::stallLimit(base::Instant now) const
{
    auto limit = scaled(m_request.route->gapObjective, m_policy.abandonGapMultiple);
    if (!m_policy.weighsMoves)
        return limit;
    return std::max(limit, std::min(m_fleet.firstEventTime(m_request.service, now), scaled(m_request.route->gapObjective, m_policy.maxAbandonGapMultiple)));
}

// Before its first event begins, a stream may wait for its prefill.
bool Exchange::isStreamStalled(base::Instant now) const
{
    return m_attempts.current().lastProgress != base::Instant {} && now - m_attempts.current().lastProgress > stallLimit(now);
}

Step Exchange::handleSilence(base::Instant now, uint64_t random)
{
    const auto& route = *m_request.route;
    if (route.kind == manifest::RouteKind::Idempotent)
        return isIdempotentAttemptLate(now) ? replaceSilentAttempt(SilenceReason::Late, now, random) : Step {};
    if (!isStream() || !route.isResumable || m_attempts.current().isProbing)
        return {};
    if (m_attempts.current().isUnreachable || isStreamStalled(now)) {
        auto step = replaceSilentAttempt(m_attempts.current().isUnreachable ? SilenceReason::Unreachable : SilenceReason::Stalled, now, random);
        if (step.kind != StepKind::Wait)
            return step;
    }
    auto wait = m_attempts.current().hasEvent ? scaled(route.gapObjective, m_policy.probeAfterGapShare) : m_policy.probeInterval;
    // Upstreams fail together during an outage of their data centre, so one additional probe is enough.
    bool isOutageSuspected = m_fleet.isOutageSuspected(m_attempts.current().placement->target, now);
    if (isOutageSuspected && !m_attempts.current().isProbedDuringOutage)
        wait = std::min(wait, m_policy.outageProbeDelay);
    // Bytes of another stream from the same upstream prove as much as a probe does.
    auto lastContactAt = std::max(m_attempts.current().lastActivity, m_fleet.lastContactAt(m_attempts.current().placement->target));
    if (now - lastContactAt < wait || now - m_attempts.current().lastProbe < wait)
        return {};
    m_attempts.current().isProbing = true;
    m_attempts.current().isProbedDuringOutage = isOutageSuspected;
    m_attempts.current().lastProbe = now;
    return { StepKind::Probe };
}

} // namespace redwingseam::forward
