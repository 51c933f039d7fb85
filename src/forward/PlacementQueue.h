#pragma once

#include "forward/ServiceQueue.h"
#include "redwingseam/base/Sharded.h"

#include <unordered_map>

namespace redwingseam::forward {

// The requests that wait on this node for room at an engine, by service. Thread-safe: services are sharded, with a lock
// per shard.
class PlacementQueue {
public:
    // Runs `function` on the queue of the service. The function must not use the PlacementQueue.
    template<typename Function>
    decltype(auto) with(const base::ServiceName& service, Function&& function)
    {
        return m_queues.with(std::hash<base::ServiceName> {}(service), [&](QueueMap& queues) -> decltype(auto) { return function(queues[service]); });
    }

private:
    using QueueMap = std::unordered_map<base::ServiceName, ServiceQueue>;

    base::Sharded<QueueMap> m_queues;
};

} // namespace redwingseam::forward
