#include "node/LockedCrashAttribution.h"

namespace redwingseam::node {

// Time for which suspicions, crashes and quarantines are kept.
static constexpr base::Duration retention = std::chrono::hours(1);

route::QuarantineState LockedCrashAttribution::quarantineState(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.quarantineState(fingerprint);
}

std::vector<membership::CrashReport> LockedCrashAttribution::recordCrash(const route::CrashId& crash, std::span<const route::InterruptedRequest> interrupted, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.recordCrash(crash, interrupted, now);
}

void LockedCrashAttribution::applyReport(const membership::CrashReport& report, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_attribution.applyReport(report, now);
}

std::vector<membership::CrashReport> LockedCrashAttribution::attributeCrashes(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.attributeCrashes(now);
}

void LockedCrashAttribution::retractCrash(const route::CrashId& crash)
{
    std::lock_guard guard(m_mutex);
    m_attribution.retractCrash(crash);
}

void LockedCrashAttribution::recordProgress(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    m_attribution.recordProgress(fingerprint);
}

bool LockedCrashAttribution::isLatestCrashDecided(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.isLatestCrashDecided(fingerprint);
}

base::Instant LockedCrashAttribution::reportWindowEnd(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.reportWindowEnd(fingerprint);
}

route::SuspectPosition LockedCrashAttribution::position(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_attribution.position(fingerprint);
}

void LockedCrashAttribution::expire(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_attribution.expire(now - retention);
}

} // namespace redwingseam::node
