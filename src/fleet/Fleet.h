#pragma once

#include "fleet/LoadMap.h"
#include "fleet/SuspicionReport.h"
#include "fleet/UpstreamPool.h"
#include "redwingseam/base/Sharded.h"

#include <atomic>

namespace redwingseam::fleet {

// All upstreams that the node knows, by service. Thread-safe: services lie in shards with a lock each.
class Fleet {
public:
    explicit Fleet(base::DataCentreName localDataCentre)
        : m_localDataCentre(std::move(localDataCentre))
    {
    }

    // Takes the whole list of the store, read from `readBegan` on.
    void update(const std::vector<UpstreamInstance>&, base::Instant readBegan, base::Duration grace);
    // Chooses an upstream for a request; the caller must `release` what it gets.
    std::optional<Placement> place(const PlacementQuery&);
    void markPrefilled(Placement&);
    void release(const Placement&);
    void replaceBackup(Placement&, const PlacementQuery&);
    void suspect(const UpstreamInstance&, SuspicionCause, base::Instant now);
    void clearSuspicion(const UpstreamInstance&);
    void noteHeard(const UpstreamInstance&, base::Instant now);
    // When any request last got bytes of the upstream; the start of time if none did.
    base::Instant heardAt(const UpstreamInstance&);
    // Whether the upstream's data centre seems to fail as a whole.
    bool isOutageSuspected(const UpstreamInstance&, base::Instant now);
    // Whether the upstream may still be sent work; a suspected one may not.
    bool takesWork(const UpstreamInstance&, base::Instant now);

    // Replaces what other nodes have booked; an upstream that is not named has nothing booked there.
    void setRemoteLoads(const LoadMap&);
    // What this node has booked, without what is zero.
    LoadMap localLoads();
    // Another node took the upstream for down at `at`. Counts only if nothing was heard of it since.
    void applySuspicionReport(const SuspicionReport&);
    // Suspicions of this node since the last call.
    std::vector<SuspicionReport> takeSuspicionReports();

    void countRequest(const base::ServiceName&, base::Instant now);
    // Nodes that share the retry limits.
    void setNodeCount(uint32_t count) { m_nodeCount = count; }
    uint32_t nodeCount() const { return m_nodeCount; }
    // Whether one more retry is within this node's part of the limits; books it if so.
    bool tryAcquireRetry(const base::ServiceName&, const RetryLimits&, base::Instant now);

    // When the list was last read; the start of time until there is one.
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
    // Cautious until the nodes are known.
    std::atomic<uint32_t> m_nodeCount { 32 };
    std::atomic<base::Instant> m_listedAt { base::Instant {} };
};

} // namespace redwingseam::fleet
