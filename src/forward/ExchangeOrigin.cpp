// The part of an Exchange that keeps a stream at the software version that began it.

#include "forward/Exchange.h"

#include <algorithm>

namespace redwingseam::forward {

using base::ResultCode;

std::optional<Step> Exchange::bindToOrigin(base::Instant now)
{
    if (m_origin || !isTakenUp())
        return std::nullopt;
    auto resolution = m_origins.resolve({ m_request.resumedAttempt, m_request.service, m_request.arrivedAt, deadline() - now }, now);
    m_isAwaitingOrigin = resolution.kind == origin::ResolutionKind::Pending;
    switch (resolution.kind) {
    case origin::ResolutionKind::Pending:
        return Step {};
    case origin::ResolutionKind::Unknown:
        return refuseTakeUp(ResultCode::StreamOriginUnknown, now);
    case origin::ResolutionKind::Known:
        break;
    }
    const auto& services = m_request.route->services;
    const auto& begunBy = resolution.origin.service;
    if (std::none_of(services.begin(), services.end(), [&](const manifest::WeightedService& weighted) { return weighted.service == begunBy; }))
        return refuseTakeUp(ResultCode::SoftwareVersionGone, now);
    m_request.service = begunBy;
    m_origin = std::move(resolution.origin);
    return std::nullopt;
}

Step Exchange::giveUpVersion(base::Instant now) const
{
    if (m_mayHaveRun || m_areHeadersSent)
        return giveUp(AttemptOutcome::NotConnected);
    return refuseTakeUp(ResultCode::SoftwareVersionGone, now);
}

// What is missing, an upstream or a node that knows the stream, may come back after a crash, which takes seconds.
Step Exchange::refuseTakeUp(ResultCode code, base::Instant now) const
{
    auto step = refuse(code);
    auto latestReturn = (deadline() - now) / 3;
    step.retryAfter = std::max(m_policy.retryAfter, latestReturn);
    return step;
}

void Exchange::recordStart(base::Instant now)
{
    if (!isStream() || !m_request.route->isResumable || m_origin)
        return;
    m_origins.recordClientTime(m_request.clientTimeout);
    m_origins.recordSent(m_request.attempt, { m_request.service, m_attempts.current().placement->target.version }, now);
}

bool Exchange::isUpstreamCurrent() const
{
    return m_attempts.current().hasEvent || !m_attempts.current().placement || m_fleet.isCurrent(m_attempts.current().placement->target);
}

} // namespace redwingseam::forward
