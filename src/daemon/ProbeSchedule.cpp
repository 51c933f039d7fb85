#include "daemon/ProbeSchedule.h"

namespace redwingseam::daemon {

std::vector<route::UpstreamRecord> ProbeSchedule::dueUpstreams(const std::vector<route::UpstreamRecord>& upstreams, base::Instant now)
{
    std::vector<route::UpstreamRecord> result;
    std::unordered_map<base::UpstreamName, base::Instant> nextProbeAt;
    for (const auto& upstream : upstreams) {
        if (upstream.state == route::UpstreamState::Gone)
            continue;
        auto known = m_nextProbeAt.find(upstream.name);
        auto probeAt = known == m_nextProbeAt.end() ? now : known->second;
        if (probeAt <= now) {
            probeAt = now + (upstream.dataCentre == m_dataCentre ? localInterval : remoteInterval);
            result.push_back(upstream);
        }
        nextProbeAt.emplace(upstream.name, probeAt);
    }
    m_nextProbeAt = std::move(nextProbeAt);
    return result;
}

} // namespace redwingseam::daemon
