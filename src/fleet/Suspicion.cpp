#include "fleet/Suspicion.h"

#include <algorithm>

namespace redwingseam::fleet {

void Suspicion::add(SuspicionCause cause, base::Instant now)
{
    switch (cause) {
    case SuspicionCause::Full:
        m_until = std::max(m_until, now + fullPause);
        return;
    case SuspicionCause::Garbled:
        m_until = std::max(m_until, now + garbledPause);
        return;
    case SuspicionCause::Replaced:
        m_isReplaced = true;
        return;
    case SuspicionCause::Unreachable:
    case SuspicionCause::ConnectionLost:
    case SuspicionCause::Silent:
        break;
    }
    // Several requests that fail at the same moment count as one failure.
    if (isActive(now))
        return;
    static constexpr uint32_t mostDoublings = 8;
    auto pause = firstPause * (1U << std::min(m_failures, mostDoublings));
    m_until = now + std::min(pause, longestPause);
    ++m_failures;
}

void Suspicion::clear()
{
    m_until = {};
    m_failures = 0;
}

} // namespace redwingseam::fleet
