#pragma once

#include "fleet/DataCentreHealth.h"
#include "fleet/FirstEventTime.h"
#include "fleet/LoadMap.h"
#include "fleet/Placement.h"
#include "fleet/PlacementQuery.h"
#include "fleet/PoolEntry.h"
#include "fleet/PromptAffinity.h"
#include "fleet/RetryBudget.h"
#include "fleet/SuspicionReport.h"
#include "fleet/VersionHistory.h"
#include "fleet/VersionWeights.h"
#include "fleet/WorkRefusals.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::fleet {

// The upstreams of one service and the selection among them. Not synchronised: protected by the lock of its shard in
// Fleet.
class UpstreamPool {
public:
    // Applies the store's list, from a read that started at `readBegan`. An upstream that is missing from it stays
    // usable for `grace`, counted from `readBegan`.
    void update(const std::vector<UpstreamInstance>& listed, base::Instant readBegan, base::Duration grace);
    // Chooses upstreams for a request and books the load. Returns nullopt if the pool has no usable upstream.
    std::optional<Placement> place(const PlacementQuery&, const base::DataCentreName& localDataCentre);
    // Returns whether there are usable upstreams and none has room.
    bool isFull(const PlacementQuery&) const;
    // Removes the prompt from the pending prefill of the target.
    void markPrefilled(Placement&);
    // Releases the booked load.
    void release(const Placement&);
    // Chooses another backup upstream after the target may have failed to reach the previous one. The placement has no
    // backup afterwards if no other upstream is usable.
    void replaceBackup(Placement&, const PlacementQuery&, const base::DataCentreName& localDataCentre);
    void suspect(const base::UpstreamName&, SuspicionCause, base::Instant now);
    // Ejects an upstream that was not reached, most likely for a reason of this node's own.
    void avoidBriefly(const base::UpstreamName&, base::Instant now);
    void clearSuspicion(const base::UpstreamName&);
    // Records that an incarnation takes no new work until it starts again, whatever the lists say. Returns whether this
    // is news.
    bool recordLeaving(const base::UpstreamName&, uint64_t incarnation, base::Instant now);
    // Records that the upstream wants no request from this node for `wait`. Returns the time that counts.
    base::Duration deferRequests(const UpstreamInstance&, base::Duration wait, base::Instant now);
    // Returns when the first upstream that the query allows accepts requests again if all that are eligible have asked to
    // wait.
    std::optional<base::Instant> deferredUntil(const PlacementQuery&) const;
    // Returns whether an upstream of the version is eligible.
    bool serves(const base::SoftwareVersion&, base::Instant now) const;
    VersionHistory& versions() { return m_versions; }
    // Returns the numbers of listed upstreams that are not draining, the same on each node with the same list.
    const VersionWeights& versionWeights() const { return m_versionWeights; }
    // Returns whether there are upstreams and all of them are leaving.
    bool areAllLeaving(base::Instant now) const;
    void setPeerLoads(const LoadMap&);
    void applySuspicionReport(const SuspicionReport&);
    void recordContact(const base::UpstreamName&, base::Instant now);
    // Returns whether an outage of the data centre is suspected.
    bool isOutageSuspected(const base::DataCentreName&, base::Instant now) const;
    const PoolEntry* find(const base::UpstreamName&) const;
    const std::vector<PoolEntry>& entries() const { return m_entries; }
    RetryBudget& retryBudget() { return m_retryBudget; }
    FirstEventTime& firstEventTime() { return m_firstEventTime; }
    // Records whether the upstream refused a request as full. Returns whether it is news that most upstreams are full, or that
    // they are not any more.
    bool recordAcceptance(const base::UpstreamName&, bool isRefused, base::Instant now);
    // Returns whether so many requests are refused that one which was refused is not carried to another upstream.
    bool isCrowded(base::Instant now) const { return acceptedShare(now) < minAcceptedShare; }
    // Returns the share of this node's latest requests that were accepted, from 0 to 1; 1 while there is nothing to judge by. The
    // upstream that refused most is left out if there are several, since one that refuses everything is no flood.
    //
    // Answers the load pattern of a flood beyond what the upstreams of a plain service can run: where most are full, a
    // request that is carried from one to the next takes their time and connections and is refused in the end.
    double acceptedShare(base::Instant now) const;

private:
    static constexpr double minAcceptedShare = 0.7;
    // A change that lasts for less is not reported.
    static constexpr base::Duration minCrowdingInterval = std::chrono::seconds(1);

    PoolEntry* findEntry(const base::UpstreamName&);
    template<typename Predicate>
    PoolEntry* chooseCheapest(const PlacementQuery&, const PromptAffinity&, const base::DataCentreName& localDataCentre, Predicate&&);
    // Returns a random usable entry, or null if there is none.
    template<typename Predicate>
    PoolEntry* chooseAny(const PlacementQuery&, Predicate&&);
    PoolEntry* findPreferred(const PlacementQuery&);
    void applyListing(const std::vector<UpstreamInstance>&, base::Instant readBegan, base::Duration grace);
    void removeUnlisted(base::Instant readBegan);
    void rebuildIndex();
    void recordDraining(const std::vector<UpstreamInstance>&, base::Instant now);
    void applyRefusals(base::Instant now);
    void markSuperseded();
    void countDataCentres(base::Instant now);
    PoolEntry* chooseTarget(const PlacementQuery&, const base::DataCentreName& localDataCentre);
    // Chooses among the upstreams that are not suspected, and have room if the query requires it.
    PoolEntry* chooseUsable(const PlacementQuery&, const base::DataCentreName& localDataCentre);
    void countVersions(const std::vector<UpstreamInstance>& listed, base::Instant readBegan);
    PoolEntry* chooseBackup(const PlacementQuery&, const UpstreamInstance& target, const base::DataCentreName& localDataCentre);
    void releaseBackup(const Placement&);

    std::vector<PoolEntry> m_entries;
    // Index of each upstream in `m_entries`. Every event of a stream does a lookup.
    std::unordered_map<base::UpstreamName, size_t> m_index;
    std::unordered_map<base::DataCentreName, DataCentreHealth> m_dataCentres;
    WorkRefusals m_refusals;
    VersionHistory m_versions;
    VersionWeights m_versionWeights;
    RetryBudget m_retryBudget;
    FirstEventTime m_firstEventTime;
    bool m_isReportedCrowded = false;
    base::Instant m_crowdingReportedAt {};
};

} // namespace redwingseam::fleet
