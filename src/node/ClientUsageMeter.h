#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/ClientUsage.h"

#include <map>
#include <utility>
#include <vector>

namespace redwingseam::node {

// Sums the cost of the work that this node dispatched for each client since the last report. Thread-safe.
class ClientUsageMeter {
public:
    void add(const base::ClientName&, base::Rank, uint64_t cost, int64_t weight);
    // Returns the `maxCount` clients with the highest cost since the last call, and resets all sums.
    std::vector<membership::ClientUsage> takeHeaviest(size_t maxCount);

private:
    base::Mutex m_mutex;
    std::map<std::pair<base::ClientName, base::Rank>, membership::ClientUsage> m_usage;
};

} // namespace redwingseam::node
