// The choice of an upstream and of a backup from a pool.

#include "fleet/PlacementCost.h"
#include "fleet/UpstreamPool.h"
#include "fleet/VersionMatch.h"

#include <algorithm>
#include <limits>

namespace redwingseam::fleet {

static bool contains(const std::vector<base::UpstreamName>& names, const base::UpstreamName& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

template<typename Predicate>
PoolEntry* UpstreamPool::chooseCheapest(const PlacementQuery& query, const PromptAffinity& affinity, const base::DataCentreName& localDataCentre, Predicate&& usable)
{
    PlacementCost cost(query, localDataCentre);
    PoolEntry* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    auto offset = m_entries.empty() ? 0 : query.random % m_entries.size();
    for (size_t i = 0; i < m_entries.size(); ++i) {
        auto& entry = m_entries[(i + offset) % m_entries.size()];
        if (!usable(entry) || contains(query.excluded, entry.instance.id))
            continue;
        // Without an engine, equal costs are common and the random offset alone spreads the choice.
        auto value = cost.targetCost(entry) - affinity.discount(entry) + (query.engine ? cost.jitter(i) : 0) + (isOutageSuspected(entry.instance.dataCentre, query.now) ? PlacementCost::outagePenalty : 0);
        if (value < lowest) {
            lowest = value;
            best = &entry;
        }
    }
    return best;
}

bool UpstreamPool::isFull(const PlacementQuery& query) const
{
    bool hasUsable = false;
    for (const auto& entry : m_entries) {
        if (!entry.takesWork(query.now) || !isCompatible(query.version, entry.instance.version))
            continue;
        if (entry.hasRoom(query))
            return false;
        hasUsable = true;
    }
    return hasUsable;
}

template<typename Predicate>
PoolEntry* UpstreamPool::chooseAny(const PlacementQuery& query, Predicate&& usable)
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        auto& entry = m_entries[(i + query.random) % m_entries.size()];
        if (usable(entry) && !contains(query.excluded, entry.instance.id))
            return &entry;
    }
    return nullptr;
}

PoolEntry* UpstreamPool::findPreferred(const PlacementQuery& query)
{
    if (!query.preferredAddress)
        return nullptr;
    auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const PoolEntry& entry) {
        return entry.instance.address == *query.preferredAddress && entry.takesWork(query.now) && isCompatible(query.version, entry.instance.version);
    });
    return found == m_entries.end() ? nullptr : &*found;
}

PoolEntry* UpstreamPool::chooseUsable(const PlacementQuery& query, const base::DataCentreName& localDataCentre)
{
    auto takesWork = [&](const PoolEntry& entry) {
        return entry.takesWork(query.now) && isCompatible(query.version, entry.instance.version) && (!query.requiresRoom || entry.hasRoom(query));
    };
    PlacementCost cost(query, localDataCentre);
    PromptAffinity affinity(query, m_entries, localDataCentre);
    auto isSampled = [&](const PoolEntry& entry) {
        return takesWork(entry) && (affinity.prefers(entry) || cost.isSampled(static_cast<size_t>(&entry - m_entries.data()), m_entries.size()));
    };
    if (auto* best = chooseCheapest(query, affinity, localDataCentre, isSampled))
        return best;
    // Nodes that know the same few upstreams with room must not all choose the cheapest.
    return query.requiresRoom ? chooseAny(query, takesWork) : chooseCheapest(query, affinity, localDataCentre, takesWork);
}

PoolEntry* UpstreamPool::chooseTarget(const PlacementQuery& query, const base::DataCentreName& localDataCentre)
{
    if (auto* preferred = findPreferred(query))
        return preferred;
    if (query.version.empty() && !query.preferredVersion.empty()) {
        auto narrowed = query;
        narrowed.version = query.preferredVersion;
        if (auto* best = chooseUsable(narrowed, localDataCentre))
            return best;
    }
    if (auto* best = chooseUsable(query, localDataCentre))
        return best;
    if (query.requiresRoom && isFull(query))
        return nullptr;
    // A suspected upstream may have recovered; trying it costs at most one connection attempt.
    PromptAffinity affinity(query, m_entries, localDataCentre);
    return chooseCheapest(query, affinity, localDataCentre, [&](const PoolEntry& entry) { return entry.acceptsRequests(query.now) && isCompatible(query.version, entry.instance.version); });
}

PoolEntry* UpstreamPool::chooseBackup(const PlacementQuery& query, const UpstreamInstance& target, const base::DataCentreName& localDataCentre)
{
    PlacementCost cost(query, localDataCentre);
    // A data centre may fail as a whole, and a backup in it is then lost together with the run.
    bool avoidsDataCentre = std::any_of(m_entries.begin(), m_entries.end(), [&](const PoolEntry& entry) {
        return entry.instance.dataCentre != target.dataCentre && entry.takesWork(query.now) && isCompatible(target.version, entry.instance.version);
    });
    auto isUsable = [&](const PoolEntry& entry) {
        bool isElsewhere = entry.instance.id != target.id && !(avoidsDataCentre && entry.instance.dataCentre == target.dataCentre);
        // The run goes on from the backup only at its own version.
        return isElsewhere && isCompatible(target.version, entry.instance.version) && entry.takesWork(query.now) && entry.hasRoomForBackup(query) && !contains(query.excluded, entry.instance.id);
    };
    PoolEntry* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    auto offset = m_entries.empty() ? 0 : (query.random >> 20) % m_entries.size();
    for (size_t i = 0; i < m_entries.size(); ++i) {
        auto& entry = m_entries[(i + offset) % m_entries.size()];
        if (!isUsable(entry))
            continue;
        // The sample may contain no upstream of another data centre, so all upstreams are considered and only the
        // jitter spreads the choice.
        auto value = cost.backupCost(entry) + cost.jitter(i) + (isOutageSuspected(entry.instance.dataCentre, query.now) ? PlacementCost::outagePenalty : 0);
        if (value < lowest) {
            lowest = value;
            best = &entry;
        }
    }
    return best;
}

} // namespace redwingseam::fleet
