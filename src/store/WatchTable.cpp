#include "store/WatchTable.h"

#include "base/Hash.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::store {

void WatchTable::setWanted(const std::string& prefix, bool isWanted)
{
    std::lock_guard guard(m_mutex);
    m_watches[prefix].isWanted = isWanted;
}

std::vector<DueWatch> WatchTable::takeDue(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_now = now;
    std::vector<DueWatch> due;
    for (auto& [prefix, state] : m_watches) {
        if (!state.isWanted || state.isInFlight || now < state.notBefore)
            continue;
        state.isInFlight = true;
        due.push_back({ prefix, state.revision });
    }
    return due;
}

void WatchTable::onResponse(const std::string& prefix, uint64_t revision)
{
    std::lock_guard guard(m_mutex);
    auto& state = m_watches[prefix];
    state.isInFlight = false;
    state.revision = revision;
    state.consecutiveFailures = 0;
}

void WatchTable::onFailure(const std::string& prefix)
{
    static constexpr base::Duration initialBackoff = std::chrono::milliseconds(200);
    static constexpr uint32_t maxDoublings = 4;
    std::lock_guard guard(m_mutex);
    auto& state = m_watches[prefix];
    state.isInFlight = false;
    state.revision = 0;
    // Exponential backoff up to 3.2 s. Jitter picks a delay between half and all of it, which depends on the
    // VM's clock and the prefix, so that VMs do not retry in step.
    auto backoff = initialBackoff * (1U << std::min(state.consecutiveFailures, maxDoublings));
    auto spread = static_cast<uint64_t>(backoff.count() / 2);
    auto jitter = base::hashBytes(prefix, static_cast<uint64_t>(m_now.time_since_epoch().count())) % spread;
    ++state.consecutiveFailures;
    state.notBefore = m_now + backoff / 2 + base::Duration(static_cast<int64_t>(jitter));
}

} // namespace redwingseam::store
