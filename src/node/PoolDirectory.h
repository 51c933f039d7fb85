#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace redwingseam::node {

// Which pool each upstream belongs to, and the newest live version of each model. Thread-safe.
class PoolDirectory {
public:
    void update(const route::UpstreamRecord&);
    std::optional<base::PoolName> poolOf(const base::UpstreamName&);
    // Whether no upstream has been heard of yet, as after a start without platform and peers.
    bool isEmpty();
    // Pool for a target: itself if it names one, else the highest version of the model that is live,
    // else one that was live before.
    std::optional<base::PoolName> resolve(std::string_view target);

private:
    struct Count {
        uint32_t live = 0;
    };

    base::Mutex m_mutex;
    std::unordered_map<base::UpstreamName, route::UpstreamRecord> m_upstreams;
    std::map<base::PoolName, Count> m_pools;
};

// Version behind the `@` of a pool's name; 0 where there is none.
uint64_t poolVersion(const base::PoolName&);

} // namespace redwingseam::node
