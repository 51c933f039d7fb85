#include "fleet/PlacementCost.h"

namespace redwingseam::fleet {

double PlacementCost::kvPressureCost(const PoolEntry& entry) const
{
    if (!m_query.engine || !m_query.engine->kvCapacityTokens)
        return 0;
    auto needed = entry.localLoad.kvTokens + entry.peerLoad.kvTokens + m_query.promptTokens + m_query.maxOutputTokens;
    auto utilisation = static_cast<double>(needed) / static_cast<double>(m_query.engine->kvCapacityTokens);
    return utilisation > maxKvUtilisation ? kvPressurePenalty * utilisation : utilisation;
}

static uint64_t mixedBits(uint64_t random, size_t index)
{
    return ((random ^ (index + 1)) * 0x9E3779B97F4A7C15ULL) >> 32;
}

// The shift makes the sample independent of the jitter.
bool PlacementCost::isSampled(size_t index, size_t count) const
{
    return count <= sampleSize || mixedBits(m_query.random >> 7, index) % count < sampleSize;
}

double PlacementCost::jitter(size_t index) const
{
    static constexpr uint64_t steps = 1024;
    return static_cast<double>(mixedBits(m_query.random, index) % steps) / static_cast<double>(steps);
}

double PlacementCost::targetCost(const PoolEntry& entry) const
{
    auto requests = entry.localLoad.requests + entry.peerLoad.requests;
    double crossDataCentreCost = entry.instance.dataCentre == m_localDataCentre ? 0 : crossDataCentrePenalty;
    if (!m_query.engine) {
        // An upstream without an engine runs up to `slots` requests concurrently without slowing down.
        auto share = static_cast<double>(requests) / entry.instance.slots;
        return share + crossDataCentreCost;
    }
    auto pendingPrefill = entry.localLoad.pendingPrefillTokens + entry.peerLoad.pendingPrefillTokens;
    return requestWeight * requests + static_cast<double>(pendingPrefill) / prefillTokensPerCostUnit + kvPressureCost(entry) + crossDataCentreCost;
}

double PlacementCost::backupCost(const PoolEntry& entry) const
{
    auto pendingPrefill = entry.localLoad.pendingPrefillTokens + entry.peerLoad.pendingPrefillTokens;
    // A backup uses the KV cache of its upstream but runs nothing there, so the KV cache weighs more than for a target.
    return kvPressureCost(entry) * 4 + static_cast<double>(pendingPrefill) / prefillTokensPerCostUnit;
}

} // namespace redwingseam::fleet
