#pragma once

#include "fleet/LeavingReport.h"
#include "fleet/LoadMap.h"
#include "fleet/OwnLinkHealth.h"
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
    // list stays usable for `grace`, counted from `readBegan`.
    void update(const std::vector<UpstreamInstance>&, base::Instant readBegan, base::Duration grace);
    // Chooses an upstream for a request and books the load. The caller must `release` the placement.
    // Returns nullopt if no upstream is usable.
    std::optional<Placement> place(const PlacementQuery&);
    // Returns whether the service has usable upstreams and none has room for the request.
    bool isFull(const PlacementQuery&);
    // Removes the prompt from the pending prefill of the target.
    void markPrefilled(Placement&);
    // Releases the booked load.
    void release(const Placement&);
    // Chooses another backup upstream after the target may have failed to reach the previous one.
    void replaceBackup(Placement&, const PlacementQuery&);
    // Ejects the upstream from selection as the cause requires, and queues a report for the other nodes if the cause
    // indicates an outage. While this node's own link is the likely cause, it only avoids the upstream for a moment.
    void suspect(const UpstreamInstance&, SuspicionCause, base::Instant now);
    // Ends the ejection after the upstream has responded to a request.
    void clearSuspicion(const UpstreamInstance&);
    // Records that the upstream has said that it is leaving: it gets no new work until it starts again, even if the list
    // says that it is ready. Queues a report for the other nodes.
    void recordLeaving(const UpstreamInstance&, base::Instant now);
    // Applies what another node was told by an upstream.
    void applyLeavingReport(const LeavingReport&, base::Instant now);
    // Returns and clears the reports of this node since the last call.
    std::vector<LeavingReport> takeLeavingReports();
    // Records that the upstream has turned a request away and wants none from this node for `wait`, whatever clears
    // other suspicions. The other nodes are not concerned.
    void deferRequests(const UpstreamInstance&, base::Duration wait, base::Instant now);
    // Returns when the first upstream that the query allows accepts requests again if all that are eligible have asked this
    // node to wait.
    std::optional<base::Instant> deferredUntil(const PlacementQuery&);
    // Returns whether the service has an eligible upstream of the version.
    bool serves(const base::ServiceName&, const base::SoftwareVersion&, base::Instant now);
    // Returns the versions of the service's upstreams that served at `since` or later. Includes the empty version if there
    // may have been others that are not known.
    std::vector<base::SoftwareVersion> versionsSince(const base::ServiceName&, base::Instant since);
    // Records that an upstream of the version, empty for any, may have served at `at` although no list showed it.
    void recordVersion(const base::ServiceName&, const base::SoftwareVersion&, base::Instant at);
    // Returns how many listed upstreams of the service have each version.
    VersionWeights versionWeights(const base::ServiceName&);
    // Returns the version to which the list assigns a stream that the attempt begins.
    base::SoftwareVersion assignedVersion(const base::ServiceName&, const base::ClientAttemptId&);
    // Returns whether the list still names this incarnation of the upstream, or none.
    bool isCurrent(const UpstreamInstance&);
    // Returns whether the upstream may get another request. A suspected upstream may.
    bool acceptsRequests(const UpstreamInstance&, base::Instant now);
    // Returns whether the service has upstreams and all of them are leaving.
    bool areAllLeaving(const base::ServiceName&, base::Instant now);
    // Records that the upstream accepted a connection or sent bytes.
    void recordContact(const UpstreamInstance&, base::Instant now);
    // Records that the upstream accepted a connection.
    void recordConnected(const UpstreamInstance&, base::Instant now);
    // Records that another node, which answered until now, is asked.
    void recordPeerAsked(base::Instant now) { m_ownLink.recordPeerAsked(now); }
    // Returns whether no other node answers: one is overdue, and none has answered in time since it was asked.
    bool isPeerOverdue(base::Instant now) const { return m_ownLink.isPeerOverdue(now); }
    // Records that another node has answered, `elapsed` after it was asked.
    void recordPeerAnswer(base::Duration elapsed, base::Instant now);
    // Returns when the upstream last accepted a connection or sent bytes, or a zero Instant if it never did.
    base::Instant lastContactAt(const UpstreamInstance&);
    // Returns when any upstream of the service last did, or a zero Instant if none ever did.
    base::Instant lastContactAt(const base::ServiceName&);
    // Returns whether an outage of the upstream's data centre is suspected.
    bool isOutageSuspected(const UpstreamInstance&, base::Instant now);
    // Returns whether the upstream is eligible and not suspected. A suspected upstream gets new work only if there is
    // no other.
    bool takesWork(const UpstreamInstance&, base::Instant now);

    // Returns the number of upstreams of the service that take work.
    size_t usableCount(const base::ServiceName&, base::Instant now);

    // Replaces the load booked by other nodes. An upstream that is not in the map has no peer load.
    void setPeerLoads(const LoadMap&);
    // Returns the load booked by this node, without zero entries.
    LoadMap localLoads();
    // Applies another node's report that the upstream failed. Ignored if this node has had contact with the upstream
    // since.
    void applySuspicionReport(const SuspicionReport&);
    // Returns and clears the reports of this node since the last call.
    std::vector<SuspicionReport> takeSuspicionReports();

    // Counts a request, which permits further retries within the limits.
    void countRequest(const base::ServiceName&, base::Instant now);
    // Sets the number of nodes that share the retry limits.
    void setNodeCount(uint32_t count) { m_nodeCount = count; }
    uint32_t nodeCount() const { return m_nodeCount; }
    // Records whether the upstream refused a request as full.
    void recordAcceptance(const UpstreamInstance&, bool isRefused, base::Instant now);
    // See UpstreamPool::isCrowded.
    bool isCrowded(const base::ServiceName&, base::Instant now);
    // Returns the services whose upstreams are mostly full.
    std::vector<base::ServiceName> crowdedServices(base::Instant now);
    // See UpstreamPool::acceptedShare.
    double acceptedShare(const base::ServiceName&, base::Instant now);
    // Returns whether one more retry fits in this node's share of the limits, and counts it if so.
    bool tryAcquireRetry(const base::ServiceName&, const RetryLimits&, base::Instant now);

    // Returns when the read of the last applied list started, or a zero Instant if there is none.
    base::Instant listedAt() const { return m_listedAt.load(); }
    // Returns copies of the entries of all services.
    // Records that a stream whose prompt had to be read began so long after it was sent.
    void recordFirstEvent(const base::ServiceName&, base::Duration, base::Instant now);
    // Returns the time in which streams of the service have begun lately, or zero if it is not known.
    base::Duration firstEventTime(const base::ServiceName&, base::Instant now);
    std::vector<PoolEntry> entries();

private:
    using PoolMap = std::unordered_map<base::ServiceName, UpstreamPool>;

    template<typename Function>
    decltype(auto) withPool(const base::ServiceName& service, Function&& function)
    {
        return m_pools.with(std::hash<base::ServiceName> {}(service), [&](PoolMap& pools) -> decltype(auto) { return function(pools[service]); });
    }

    // Drops the reports that wait to be sent and may be due to this node's own link, and counts one more.
    void holdBackReports();

    // The reports of each kind that wait to be sent; more are dropped.
    static constexpr size_t maxReports = 256;

    base::DataCentreName m_localDataCentre;
    base::Sharded<PoolMap> m_pools;
    OwnLinkHealth m_ownLink;
    base::Mutex m_reportsMutex;
    std::vector<SuspicionReport> m_reports;
    std::vector<LeavingReport> m_leavingReports;
    // The high initial value keeps the share of retries low until the number of nodes is known.
    std::atomic<uint32_t> m_nodeCount { 32 };
    std::atomic<base::Instant> m_listedAt { base::Instant {} };
};

} // namespace redwingseam::fleet
