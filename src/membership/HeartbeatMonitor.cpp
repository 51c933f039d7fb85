#include "membership/HeartbeatMonitor.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace redwingseam::membership {

static std::vector<base::VmName> neighbours(std::span<const base::VmName> ring, const base::VmName& self, size_t count, size_t step)
{
    std::vector<base::VmName> sorted(ring.begin(), ring.end());
    sorted.push_back(self);
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    auto position = static_cast<size_t>(std::lower_bound(sorted.begin(), sorted.end(), self) - sorted.begin());
    std::vector<base::VmName> result;
    for (size_t i = 1; i <= std::min(count, sorted.size() - 1); ++i) {
        position = (position + step) % sorted.size();
        result.push_back(sorted[position]);
    }
    return result;
}

std::vector<base::VmName> HeartbeatMonitor::heartbeatTargets(std::span<const base::VmName> ring) const
{
    return neighbours(ring, m_self, monitorsPerVm, 1);
}

std::vector<base::VmName> HeartbeatMonitor::monitoredVms(std::span<const base::VmName> ring) const
{
    size_t ringSize = std::max<size_t>(1, ring.size());
    bool hasSelf = std::find(ring.begin(), ring.end(), m_self) != ring.end();
    return neighbours(ring, m_self, monitorsPerVm, hasSelf ? ringSize - 1 : ringSize);
}

void HeartbeatMonitor::onHeartbeat(const base::VmName& vm, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_lastHeartbeatAt[vm] = now;
}

void HeartbeatMonitor::discountStandstill(base::Instant now)
{
    auto lastCheckAt = std::exchange(m_lastCheckAt, now);
    auto pause = now - lastCheckAt;
    if (lastCheckAt == base::Instant {} || pause <= m_timeout / 2)
        return;
    for (auto& item : m_lastHeartbeatAt)
        item.second = std::min(item.second + pause, now);
}

std::vector<base::VmName> HeartbeatMonitor::findTimedOut(std::span<const base::VmName> ring, base::Instant now)
{
    auto candidates = monitoredVms(ring);
    std::lock_guard guard(m_mutex);
    discountStandstill(now);
    std::vector<base::VmName> result;
    std::unordered_map<base::VmName, base::Instant> kept;
    for (const auto& vm : candidates) {
        // A newly monitored VM gets the whole timeout from the start of its monitoring.
        auto found = m_lastHeartbeatAt.find(vm);
        auto lastHeartbeatAt = found == m_lastHeartbeatAt.end() ? now : found->second;
        kept.emplace(vm, lastHeartbeatAt);
        if (now - lastHeartbeatAt > m_timeout)
            result.push_back(vm);
    }
    m_lastHeartbeatAt = std::move(kept);
    return result;
}

} // namespace redwingseam::membership
