#include "fleet/DataCentreHealth.h"

#include <algorithm>

namespace redwingseam::fleet {

void DataCentreHealth::recordFailure(const base::UpstreamName& upstream, base::Instant now)
{
    recordSuccess(upstream);
    std::erase_if(m_failures, [&](const Failure& failure) { return now - failure.failedAt >= failureWindow; });
    m_failures.push_back({ upstream, now });
}

void DataCentreHealth::recordSuccess(const base::UpstreamName& upstream)
{
    std::erase_if(m_failures, [&](const Failure& failure) { return failure.upstream == upstream; });
}

bool DataCentreHealth::isOutageSuspected(base::Instant now) const
{
    auto recent = std::count_if(m_failures.begin(), m_failures.end(), [&](const Failure& failure) { return now - failure.failedAt < failureWindow; });
    auto needed = std::max(static_cast<double>(minFailures), minFailedShare * static_cast<double>(m_upstreamCount));
    return static_cast<double>(recent) >= needed;
}

} // namespace redwingseam::fleet
