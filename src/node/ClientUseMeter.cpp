#include "node/ClientUseMeter.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::node {

void ClientUseMeter::add(const base::ClientName& client, base::Rank rank, uint64_t cost, int64_t weight)
{
    std::lock_guard guard(m_mutex);
    auto& use = m_use[{ client, rank }];
    use.client = client;
    use.rank = rank;
    use.cost += cost;
    use.weight = weight;
}

std::vector<membership::ClientUse> ClientUseMeter::takeHeaviest(size_t maxCount)
{
    std::vector<membership::ClientUse> heaviest;
    {
        std::lock_guard guard(m_mutex);
        for (auto& [key, use] : std::exchange(m_use, {}))
            heaviest.push_back(use);
    }
    std::sort(heaviest.begin(), heaviest.end(), [](const auto& a, const auto& b) { return a.cost > b.cost; });
    heaviest.resize(std::min(maxCount, heaviest.size()));
    return heaviest;
}

} // namespace redwingseam::node
