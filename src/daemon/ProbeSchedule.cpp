#include "daemon/ProbeSchedule.h"

namespace redwingseam::daemon {

std::vector<route::UpstreamRecord> ProbeSchedule::due(const std::vector<route::UpstreamRecord>& upstreams, base::Instant now)
{
    std::vector<route::UpstreamRecord> result;
    std::unordered_map<base::UpstreamName, base::Instant> nextAt;
    for (const auto& upstream : upstreams) {
        if (upstream.state == route::UpstreamState::Gone)
            continue;
        auto known = m_nextAt.find(upstream.name);
        auto at = known == m_nextAt.end() ? now : known->second;
        if (at <= now) {
            at = now + (upstream.dataCentre == m_dataCentre ? nearInterval : farInterval);
            result.push_back(upstream);
        }
        nextAt.emplace(upstream.name, at);
    }
    m_nextAt = std::move(nextAt);
    return result;
}

} // namespace redwingseam::daemon
