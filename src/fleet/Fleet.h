#pragma once

#include "fleet/LoadMap.h"
#include "fleet/SuspicionReport.h"
#include "fleet/UpstreamPool.h"
#include "redwingseam/base/Sharded.h"

#include <atomic>

namespace redwingseam::fleet {

// All upstreams known to the node, grouped by service. Thread-safe: services are sharded, with a lock per shard.
class Fleet {
public:
    explicit Fleet(base::DataCentreName localDataCentre)
        : m_localDataCentre(std::move(localDataCentre))
    {
    }

    // Applies the store's full list, from a read that started at `readBegan`. An upstream that is missing from the
    // list stays usable for `grace`.
    void update(const std::vector<UpstreamInstance>&, base::Instant readBegan, base::Duration grace);
    // Chooses an upstream for a request and books the load. The caller must `release` the placement.
    std::optional<Placement> place(const PlacementQuery&);
    void markPrefilled(Placement&);
    void release(const Placement&);
    void replaceBackup(Placement&, const PlacementQuery&);
    void suspect(const UpstreamInstance&, SuspicionCause, base::Instant now);
    void clearSuspicion(const UpstreamInstance&);
    void recordContact(const UpstreamInstance&, base::Instant now);
    // Returns when any request last received bytes from the upstream, or a zero Instant if none did.
    base::Instant lastContactAt(const UpstreamInstance&);
    // Returns whether an outage of the upstream's data centre is suspected.
    bool isOutageSuspected(const UpstreamInstance&, base::Instant now);
    // Returns whether the upstream may get new work. A suspected upstream may not.
    bool takesWork(const UpstreamInstance&, base::Instant now);

    // Replaces the load booked by other nodes. An upstream that is not in the map has no remote load.
    void setPeerLoads(const LoadMap&);
    // Returns the load booked by this node, without zero entries.
    LoadMap localLoads();
    // Applies another node's report that the upstream failed. Ignored if this node has heard from the upstream since.
    void applySuspicionReport(const SuspicionReport&);
    // Returns and clears the reports of this node since the last call.
    std::vector<SuspicionReport> takeSuspicionReports();

    void countRequest(const base::ServiceName&, base::Instant now);
    // Sets the number of nodes that share the retry limits.
    void setNodeCount(uint32_t count) { m_nodeCount = count; }
    uint32_t nodeCount() const { return m_nodeCount; }
    // Returns whether one more retry fits in this node's share of the limits, and counts it if so.
    bool tryAcquireRetry(const base::ServiceName&, const RetryLimits&, base::Instant now);

    // Returns when the last applied list was read, or a zero Instant if there is none.
    base::Instant listedAt() const { return m_listedAt.load(); }
    std::vector<PoolEntry> entries();

private:
    using PoolMap = std::unordered_map<base::ServiceName, UpstreamPool>;

    template<typename Function>
    decltype(auto) withPool(const base::ServiceName& service, Function&& function)
    {
        return m_pools.with(std::hash<base::ServiceName> {}(service), [&](PoolMap& pools) -> decltype(auto) { return function(pools[service]); });
    }

    base::DataCentreName m_localDataCentre;
    base::Sharded<PoolMap> m_pools;
    base::Mutex m_reportsMutex;
    std::vector<SuspicionReport> m_reports;
    // The high initial value keeps the share of retries low until the number of nodes is known.
    std::atomic<uint32_t> m_nodeCount { 32 };
    std::atomic<base::Instant> m_listedAt { base::Instant {} };
};

} // namespace redwingseam::fleet
