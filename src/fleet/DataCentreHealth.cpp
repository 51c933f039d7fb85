#include "fleet/DataCentreHealth.h"

#include <algorithm>

namespace redwingseam::fleet {

void DataCentreHealth::noteFailure(const base::UpstreamName& upstream, base::Instant now)
{
    noteSuccess(upstream);
    std::erase_if(m_failures, [&](const Failure& failure) { return now - failure.at >= memory; });
    m_failures.push_back({ upstream, now });
}

void DataCentreHealth::noteSuccess(const base::UpstreamName& upstream)
{
    std::erase_if(m_failures, [&](const Failure& failure) { return failure.upstream == upstream; });
}

bool DataCentreHealth::isDoubtful(base::Instant now) const
{
    auto recent = std::count_if(m_failures.begin(), m_failures.end(), [&](const Failure& failure) { return now - failure.at < memory; });
    auto needed = std::max(static_cast<double>(fewestFailures), fewestShare * static_cast<double>(m_size));
    return static_cast<double>(recent) >= needed;
}

} // namespace redwingseam::fleet
