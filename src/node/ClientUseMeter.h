#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/ClientUse.h"

#include <map>
#include <utility>
#include <vector>

namespace redwingseam::node {

// Cost that each client was served here since the last report. Thread-safe.
class ClientUseMeter {
public:
    void add(const base::ClientName&, base::Rank, uint64_t cost, int64_t weight);
    // The `most` heaviest since the last call; starts counting anew.
    std::vector<membership::ClientUse> takeHeaviest(size_t maxCount);

private:
    base::Mutex m_mutex;
    std::map<std::pair<base::ClientName, base::Rank>, membership::ClientUse> m_use;
};

} // namespace redwingseam::node
