#pragma once

#include "fleet/PlacementQuery.h"
#include "fleet/PoolEntry.h"

namespace redwingseam::fleet {

// Cost of placing a request on an upstream; the lowest cost wins. For a model engine, the unit is the prefill of
// `prefillTokensPerCostUnit` tokens. For an upstream without an engine, it is as many requests as the upstream has
// slots.
class PlacementCost {
public:
    PlacementCost(const PlacementQuery& query, const base::DataCentreName& localDataCentre)
        : m_query(query)
        , m_localDataCentre(localDataCentre)
    {
    }

    // An upstream in a data centre with a suspected outage is chosen only if all others are far busier.
    static constexpr double outagePenalty = 40;

    // Random tie-breaker in the range [0, 1), so that nodes with the same load information do not all choose the same
    // upstream.
    double jitter(size_t index) const;
    // Returns whether the upstream at `index` of `count` belongs to the random sample. Sampling among many upstreams
    // keeps nodes with equally stale load information from converging on the few least loaded ones.
    bool isSampled(size_t index, size_t count) const;
    // Cost of running the request on the upstream.
    double targetCost(const PoolEntry&) const;
    // Cost of placing the backup of a run on the upstream.
    double backupCost(const PoolEntry&) const;

private:
    // Cost of one concurrent request. Concurrent requests delay a request far less than the prefill of queued prompts
    // does.
    static constexpr double requestWeight = 0.4;
    static constexpr size_t sampleSize = 16;
    // Tokens whose pending prefill costs 1, as much as 2.5 concurrent requests, because the prefill delays concurrent
    // requests.
    static constexpr double prefillTokensPerCostUnit = 2000;
    // An engine whose KV cache is fuller than this soon preempts requests.
    static constexpr double maxKvUtilisation = 0.85;
    static constexpr double kvPressurePenalty = 100;
    // Traffic between data centres is billed. On engines, avoiding it is worth as much as the prefill of 3000 tokens.
    static constexpr double crossDataCentrePenalty = 1.5;

    double kvPressureCost(const PoolEntry&) const;

    const PlacementQuery& m_query;
    const base::DataCentreName& m_localDataCentre;
};

} // namespace redwingseam::fleet
