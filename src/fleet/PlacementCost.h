#pragma once

#include "fleet/PlacementQuery.h"
#include "fleet/PoolEntry.h"

namespace redwingseam::fleet {

// What it costs to place a request at an upstream; the lowest is chosen. In units of one request that
// runs beside it.
class PlacementCost {
public:
    PlacementCost(const PlacementQuery& query, const base::DataCentreName& localDataCentre)
        : m_query(query)
        , m_localDataCentre(localDataCentre)
    {
    }

    // An upstream whose data centre seems to fail as a whole is taken only if all others are far busier.
    static constexpr double outagePenalty = 40;

    // Nodes that know the same loads must not all choose the same upstream.
    double jitter(size_t index) const;
    // Whether the upstream at `index` of `count` is looked at. Among many, a sample keeps nodes whose
    // knowledge is equally late from meeting at the few idlest ones.
    bool isSampled(size_t index, size_t count) const;
    double ofTarget(const PoolEntry&) const;
    // For the upstream that keeps the copy of a run at `target`.
    double ofBackup(const PoolEntry&, const UpstreamInstance& target) const;

private:
    // Running beside others delays a request far less than waiting for prompts to be read.
    static constexpr double requestWeight = 0.4;
    static constexpr size_t sampleSize = 16;
    // Reading a prompt of this length delays the requests beside it as much as one more of them does over its run.
    static constexpr double prefillTokensPerRequest = 2000;
    // An upstream whose memory is this full preempts before long.
    static constexpr double maxKvUtilisation = 0.85;
    static constexpr double kvPressurePenalty = 100;
    // Bytes between data centres are billed; worth a fraction of a request's slow-down.
    static constexpr double crossDataCentrePenalty = 1.5;
    // A data centre may fail as a whole, and the copy is then lost with the run.
    static constexpr double sameFailureDomainPenalty = 1000;

    double kvPressureCost(const PoolEntry&) const;

    const PlacementQuery& m_query;
    const base::DataCentreName& m_localDataCentre;
};

} // namespace redwingseam::fleet
