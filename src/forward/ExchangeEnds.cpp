// The part of an Exchange that handles the end of an attempt.

#include "base/ScaledDuration.h"
#include "forward/Exchange.h"
#include "log/LogLine.h"

#include <glog/logging.h>

namespace redwingseam::forward {

using base::ResultCode;
using base::scaled;

static std::optional<fleet::SuspicionCause> suspicionCauseFor(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotConnected:
        return fleet::SuspicionCause::Unreachable;
    case AttemptOutcome::NotRun:
        return fleet::SuspicionCause::AtCapacity;
    case AttemptOutcome::Misdirected:
        return fleet::SuspicionCause::Replaced;
    case AttemptOutcome::Malformed:
        return fleet::SuspicionCause::Malformed;
    case AttemptOutcome::LostBeforeResponse:
    case AttemptOutcome::LostDuringResponse:
        return fleet::SuspicionCause::ConnectionLost;
    case AttemptOutcome::Silent:
        return fleet::SuspicionCause::Silent;
    case AttemptOutcome::Completed:
    case AttemptOutcome::Rejected:
    case AttemptOutcome::UpstreamError:
    case AttemptOutcome::BackupMissing:
        break;
    }
    return std::nullopt;
}

bool Exchange::isRetryAllowed(AttemptOutcome outcome, unsigned possibleRuns, unsigned reachedAttempts, base::Instant now)
{
    if (now >= deadline() || isQuarantined(now))
        return false;
    // Further attempts of a stream that has begun are spaced instead.
    if (reachedAttempts >= m_policy.maxReachedAttempts && !m_areHeadersSent)
        return false;
    return !mayHaveRun(outcome) || (m_request.route->isRepeatable() && possibleRuns < m_request.route->maxAttempts);
}

bool Exchange::acquireRetry(AttemptOutcome outcome, base::Instant now)
{
    // An attempt that did not reach the upstream causes no load there, so it does not use the shared retry budget.
    return outcome == AttemptOutcome::NotConnected || acquireSharedRetry(now);
}

bool Exchange::acquireSharedRetry(base::Instant now)
{
    if (std::exchange(m_hasUnusedRetry, false) || m_fleet.tryAcquireRetry(m_request.service, m_request.retries, now))
        return true;
    if (!std::exchange(m_isRetryDenialLogged, true))
        LOG(WARNING) << log::LogLine("retry_denied").with("request", m_request.attempt.text).with("service", m_request.service.text).with("sends", m_sends).with("runs", m_possibleRuns).with("in_flight", m_attempts.current().placement ? 1 : 0).text();
    return false;
}

Step Exchange::attemptEnded(AttemptOutcome outcome, base::Instant now, uint64_t random)
{
    if (outcome == AttemptOutcome::Silent)
        outcome = m_attempts.current().silentOutcome();
    if (isCrowdingBounded() && m_attempts.current().placement && outcome != AttemptOutcome::NotConnected)
        m_fleet.recordAcceptance(m_attempts.current().placement->target, outcome == AttemptOutcome::NotRun, now);
    recordAttemptEnd(m_attempts.current(), outcome, now);
    if (isDeliverable(outcome)) {
        dropKeptAttempt(now);
        return { StepKind::Deliver };
    }
    if (isAttemptKept()) {
        m_hasUnusedRetry |= outcome == AttemptOutcome::NotConnected;
        return goBack(outcome == AttemptOutcome::BackupMissing);
    }
    bool isTurnedAway = isCrowdingBounded() && outcome == AttemptOutcome::NotRun && !m_mayHaveRun && m_fleet.isCrowded(m_request.service, now);
    if (isTurnedAway)
        return refuseUntilRoom(deadline() - now, now, random);
    if (!isRetryAllowed(outcome, m_possibleRuns, m_reachedAttempts, now))
        return giveUp(outcome);
    if (!acquireRetry(outcome, now))
        return m_areHeadersSent ? waitForRetry(now) : giveUp(outcome);
    if (m_reachedAttempts >= m_policy.maxReachedAttempts)
        return waitBeforePlacement(m_policy.refusalPause, now);
    return place(now, random);
}

Step Exchange::waitForRetry(base::Instant now)
{
    m_isWaitingForRetry = true;
    return waitBeforePlacement(m_policy.placementInterval, now);
}

Step Exchange::waitBeforePlacement(base::Duration pause, base::Instant now)
{
    m_waitingSince = now;
    m_nextPlacementAt = now + pause;
    return {};
}

AttemptOutcome Exchange::judgeStreamEnd()
{
    bool isConfirmed = !m_areHeadersSent || m_attempts.current().hasEvent || m_isEndReported;
    m_isEndReported = true;
    return isConfirmed ? AttemptOutcome::Completed : AttemptOutcome::Malformed;
}

Step Exchange::attemptNotStarted(base::Instant now)
{
    if (!m_attempts.current().placement)
        return {};
    release();
    --m_sends;
    if (!mayHaveRunBefore())
        cancelTrial();
    if (m_attempts.current().isFirstContact)
        m_contacted.pop_back();
    if (isAttemptKept()) {
        m_hasUnusedRetry = true;
        return goBack();
    }
    if (m_noResourcesSince == base::Instant {})
        m_noResourcesSince = now;
    bool isWaitOver = now - m_noResourcesSince >= scaled(m_request.route->latencyObjective, m_policy.maxWaitObjectiveShare);
    if (isWaitOver && !m_areHeadersSent)
        return giveUp(AttemptOutcome::NotConnected);
    if (isWaitOver)
        m_nextPlacementAt = now + m_policy.placementInterval;
    m_waitingSince = m_noResourcesSince;
    return {};
}

void Exchange::recordAttemptEnd(Attempt& attempt, AttemptOutcome outcome, base::Instant now)
{
    m_noResourcesSince = {};
    if (mayHaveRun(outcome)) {
        ++m_possibleRuns;
        m_mayHaveRun = true;
    } else if (!mayHaveRunBefore()) {
        cancelTrial();
    }
    if (outcome == AttemptOutcome::UpstreamError)
        m_hasFailureResponse = true;
    if (outcome != AttemptOutcome::NotConnected)
        ++m_reachedAttempts;
    if (!attempt.placement)
        return;
    auto ended = *attempt.placement;
    m_fleet.release(ended);
    updateCrashEvidence(attempt, outcome, now);
    auto cause = suspicionCauseFor(outcome);
    bool isSuspected = (attempt.isUnreachable || attempt.isSuspectedAsLate) && outcome == attempt.silentOutcome();
    if (!cause)
        m_fleet.clearSuspicion(ended.target);
    else if (!isSuspected)
        m_fleet.suspect(ended.target, *cause, now);
    if (outcome != AttemptOutcome::BackupMissing)
        m_excluded.push_back(ended.target.id);
    if (outcome == AttemptOutcome::NotConnected)
        m_unserved.push_back({ ended.target, now });
    // The client can get nothing but the rest of the stream.
    if (outcome == AttemptOutcome::NotRun && m_areHeadersSent)
        m_unserved.push_back({ ended.target, now + m_policy.refusalPause });
    // The upstream may be sound, and those that were preferred to it may refuse.
    if (outcome == AttemptOutcome::Silent && m_areHeadersSent)
        m_unserved.push_back({ ended.target, now });
    if (mayHaveRun(outcome)) {
        if (auto address = attempt.backupAddress())
            m_backupAddress = std::move(address);
    }
    attempt.placement.reset();
}

Step Exchange::backupRefused(base::Instant now, uint64_t random)
{
    if (!m_attempts.current().placement)
        return {};
    // If the upstream says that it takes no more work, the refusal is its own. A kept attempt may go on.
    if (isAttemptKept() || !m_fleet.acceptsRequests(m_attempts.current().placement->target, now))
        return attemptEnded(AttemptOutcome::NotRun, now, random);
    if (m_attempts.current().placement->backup)
        m_fleet.suspect(*m_attempts.current().placement->backup, fleet::SuspicionCause::Unreachable, now);
    ++m_reachedAttempts;
    if (!m_mayHaveRun)
        cancelTrial();
    // A part may have been quarantined while the upstream tried to reach the backup.
    auto outcome = AttemptOutcome::NotRun;
    if (!isRetryAllowed(outcome, m_possibleRuns, m_reachedAttempts, now))
        return giveUp(outcome);
    if (!acquireRetry(outcome, now)) {
        if (!m_areHeadersSent)
            return giveUp(outcome);
        release();
        return waitForRetry(now);
    }
    m_fleet.replaceBackup(*m_attempts.current().placement, query(now, random));
    return send(*m_attempts.current().placement, now);
}

Step Exchange::giveUp(AttemptOutcome outcome) const
{
    if (m_hasFailureResponse && !m_areHeadersSent)
        return { StepKind::Deliver };
    if (!m_mayHaveRun && !mayHaveRun(outcome) && !m_areHeadersSent)
        return refuse(outcome == AttemptOutcome::NotRun ? ResultCode::QueueFull : ResultCode::NoUpstream);
    return { StepKind::Fail, {}, m_areHeadersSent ? ResultCode::StreamLost : ResultCode::OutcomeUnknown };
}

} // namespace redwingseam::forward
