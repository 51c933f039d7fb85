#include "node/ClientUsageMeter.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::node {

void ClientUsageMeter::add(const base::ClientName& client, base::Rank rank, uint64_t cost, int64_t weight)
{
    std::lock_guard guard(m_mutex);
    auto& usage = m_usage[{ client, rank }];
    usage.client = client;
    usage.rank = rank;
    usage.cost += cost;
    usage.weight = weight;
}

std::vector<membership::ClientUsage> ClientUsageMeter::takeHeaviest(size_t maxCount)
{
    std::vector<membership::ClientUsage> heaviest;
    {
        std::lock_guard guard(m_mutex);
        for (auto& [key, usage] : std::exchange(m_usage, {}))
            heaviest.push_back(usage);
    }
    std::sort(heaviest.begin(), heaviest.end(), [](const auto& a, const auto& b) { return a.cost > b.cost; });
    heaviest.resize(std::min(maxCount, heaviest.size()));
    return heaviest;
}

} // namespace redwingseam::node
