#pragma once

#include "fleet/DataCentreHealth.h"
#include "fleet/LoadMap.h"
#include "fleet/Placement.h"
#include "fleet/PlacementQuery.h"
#include "fleet/PoolEntry.h"
#include "fleet/RetryBudget.h"
#include "fleet/SuspicionReport.h"

#include <unordered_map>
#include <vector>

namespace redwingseam::fleet {

// The upstreams of one service, and the choice among them. Not synchronised: lies in a shard of Fleet.
class UpstreamPool {
public:
    // Takes the store's list. An upstream that is missing from it is used for `grace` more.
    void update(const std::vector<UpstreamInstance>& listed, base::Instant now, base::Duration grace);
    // Chooses and books upstreams for a request; nothing if none takes work.
    std::optional<Placement> place(const PlacementQuery&, const base::DataCentreName& localDataCentre);
    // The request's prompt has been read.
    void markPrefilled(Placement&);
    void release(const Placement&);
    // Exchanges the upstream that keeps the copy, after the target could not reach the one before.
    void replaceBackup(Placement&, const PlacementQuery&, const base::DataCentreName& localDataCentre);
    void suspect(const base::UpstreamName&, SuspicionCause, base::Instant now);
    void clearSuspicion(const base::UpstreamName&);
    void setRemoteLoads(const LoadMap&);
    void applySuspicionReport(const SuspicionReport&);
    void noteHeard(const base::UpstreamName&, base::Instant now);
    // Whether a data centre seems to fail as a whole.
    bool isOutageSuspected(const base::DataCentreName&, base::Instant now) const;
    const PoolEntry* find(const base::UpstreamName&) const;
    const std::vector<PoolEntry>& entries() const { return m_entries; }
    RetryBudget& retryBudget() { return m_retryBudget; }

private:
    PoolEntry* findEntry(const base::UpstreamName&);
    template<typename Usable>
    PoolEntry* cheapest(const PlacementQuery&, const base::DataCentreName& localDataCentre, Usable&&);
    PoolEntry* findPreferred(const PlacementQuery&);
    void applyListing(const std::vector<UpstreamInstance>&, base::Instant now, base::Duration grace);
    void rebuildIndex();
    void markSuperseded();
    void countDataCentres(base::Instant now);
    PoolEntry* chooseTarget(const PlacementQuery&, const base::DataCentreName& localDataCentre);
    PoolEntry* chooseBackup(const PlacementQuery&, const UpstreamInstance& target, const base::DataCentreName& localDataCentre);
    void releaseBackup(const Placement&);

    std::vector<PoolEntry> m_entries;
    // Where each upstream stands in `m_entries`; every event of a stream looks one up.
    std::unordered_map<base::UpstreamName, size_t> m_index;
    std::unordered_map<base::DataCentreName, DataCentreHealth> m_dataCentres;
    RetryBudget m_retryBudget;
};

} // namespace redwingseam::fleet
