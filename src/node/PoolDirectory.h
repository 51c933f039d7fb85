#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace redwingseam::node {

// Maps upstreams to their pools and model names to the pool of the newest live version. Thread-safe.
class PoolDirectory {
public:
    void update(const route::UpstreamRecord&);
    std::optional<base::PoolName> poolOf(const base::UpstreamName&);
    // Returns whether no upstream record has arrived yet, as after a start without platform and peers.
    bool isEmpty();
    // Returns the pool for a target: the pool of that name if there is one, otherwise the model's
    // highest version with a live upstream, otherwise its highest version known.
    std::optional<base::PoolName> resolve(std::string_view target);

private:
    struct Count {
        uint32_t live = 0;
    };

    base::Mutex m_mutex;
    std::unordered_map<base::UpstreamName, route::UpstreamRecord> m_upstreams;
    std::map<base::PoolName, Count> m_pools;
};

// Returns the version after the `@` of a pool's name, or 0 if there is none.
uint64_t poolVersion(const base::PoolName&);

} // namespace redwingseam::node
