#include "fleet/Suspicion.h"

#include <algorithm>

namespace redwingseam::fleet {

void Suspicion::add(SuspicionCause cause, base::Instant now, base::Duration extraBackoff)
{
    switch (cause) {
    case SuspicionCause::AtCapacity:
        m_until = std::max(m_until, now + overloadBackoff);
        return;
    case SuspicionCause::Malformed:
        m_until = std::max(m_until, now + malformedResponseBackoff);
        return;
    case SuspicionCause::Replaced:
        m_isReplaced = true;
        return;
    case SuspicionCause::Unreachable:
    case SuspicionCause::ConnectionLost:
    case SuspicionCause::Silent:
        break;
    }
    // Concurrent failures of several requests count as one.
    if (isActive(now))
        return;
    static constexpr uint32_t maxDoublings = 8;
    auto backoff = initialBackoff * (1U << std::min(m_failures, maxDoublings));
    m_until = now + std::min(backoff, maxBackoff) + extraBackoff;
    ++m_failures;
}

void Suspicion::addBriefly(base::Instant now)
{
    m_until = std::max(m_until, now + initialBackoff);
}

void Suspicion::clear()
{
    m_until = {};
    m_failures = 0;
}

} // namespace redwingseam::fleet
