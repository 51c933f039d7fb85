// The part of an Exchange that weighs whether the request itself crashes upstreams.

#include "base/Hash.h"
#include "forward/Exchange.h"

#include <algorithm>

namespace redwingseam::forward {

using base::ResultCode;

static base::ClientHash accountOf(const ExchangeRequest& request)
{
    return { request.client.text.empty() ? 0 : base::hashBytes(request.client.text) };
}

bool Exchange::isQuarantined(base::Instant now)
{
    return m_crashes.requests.isQuarantined(m_request.fingerprint, now) || m_crashes.parts.isQuarantined(m_request.promptParts);
}

bool Exchange::maySend(base::Instant now)
{
    if (!isQuarantined(now))
        return true;
    return !m_sends && m_crashes.requests.isTrialDue(m_request.fingerprint, now) && m_crashes.parts.isTrialDue(m_request.promptParts, now, accountOf(m_request));
}

// A request that still waits to be sent does not hold up the trial of another one.
bool Exchange::tryBeginTrial(base::Instant now)
{
    if (m_sends || !isQuarantined(now))
        return true;
    if (!m_crashes.requests.tryBeginTrial(m_request.fingerprint, now))
        return false;
    m_trialAt = now;
    if (m_crashes.parts.tryBeginTrial(m_request.promptParts, now, accountOf(m_request)))
        return true;
    cancelTrial();
    return false;
}

void Exchange::cancelTrial()
{
    if (m_trialAt) {
        m_crashes.requests.cancelTrial(m_request.fingerprint, *m_trialAt);
        m_crashes.parts.cancelTrial(m_request.promptParts, *m_trialAt);
    }
    m_trialAt.reset();
}

bool Exchange::isSuspect(base::Instant now)
{
    return m_crashes.requests.isSuspect(m_request.fingerprint, now) || m_crashes.parts.isSuspect(m_request.promptParts);
}

Step Exchange::refuseQuarantined(base::Instant now) const
{
    auto step = refuse(ResultCode::HarmfulRequest);
    auto until = std::max(m_crashes.parts.quarantinedUntil(m_request.promptParts, accountOf(m_request)).value_or(now), m_crashes.requests.quarantinedUntil(m_request.fingerprint, now).value_or(now));
    step.retryAfter = std::clamp(std::min(until, now + m_policy.maxRetryAfter) - now, m_policy.retryAfter, m_policy.maxRetryAfter);
    return step;
}

void Exchange::recordProgress(base::Instant now)
{
    m_crashes.requests.recordProgress(m_request.fingerprint, now);
    m_crashes.parts.recordProgress(m_request.promptParts, now);
}

void Exchange::updateCrashEvidence(const Attempt& attempt, AttemptOutcome outcome, base::Instant now)
{
    const auto& upstream = attempt.placement->target;
    // An upstream may reject a request, or end its stream, before it reads a prompt part.
    bool hasReadPrompt = outcome == AttemptOutcome::Completed && (!isStream() || attempt.hasEvent);
    if (hasReadPrompt)
        recordProgress(now);
    else if (isDeliverable(outcome) || outcome == AttemptOutcome::UpstreamError)
        m_crashes.requests.recordFailureResponse(m_request.fingerprint);
    bool isLost = outcome == AttemptOutcome::LostBeforeResponse || outcome == AttemptOutcome::LostDuringResponse;
    if (!isLost || attempt.hasEvent)
        return;
    // During a suspected outage of the data centre the request is not the likely cause. Crashes on a part that is
    // already suspect look like an outage if they are frequent.
    bool isOutage = m_fleet.isOutageSuspected(upstream, now);
    if (!isOutage)
        m_crashes.requests.recordCrash({ m_request.fingerprint, attempt.sentAt, now });
    if (!isOutage || m_crashes.parts.isSuspect(m_request.promptParts))
        m_crashes.parts.recordCrash({ 0, m_request.fingerprint, upstream.id, m_request.promptParts, attempt.sentAt, now, accountOf(m_request) }, now);
}

} // namespace redwingseam::forward
