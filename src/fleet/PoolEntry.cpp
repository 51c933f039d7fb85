#include "fleet/PoolEntry.h"

namespace redwingseam::fleet {

// Pending prompts up to this share of the KV cache may wait at an engine: enough to keep it busy until the next report
// of its load, while the order of further prompts is still open.
static constexpr double maxPendingPrefillShare = 0.2;

bool PoolEntry::hasRoom(const PlacementQuery& query) const
{
    if (!query.engine || !query.engine->kvCapacityTokens)
        return true;
    auto capacity = query.engine->kvCapacityTokens;
    auto pending = localLoad.pendingPrefillTokens + peerLoad.pendingPrefillTokens;
    auto cached = localLoad.kvTokens + peerLoad.kvTokens;
    // A request that is larger than the limits still gets an idle engine.
    bool canPrefill = pending.isZero() || static_cast<double>(pending + query.promptTokens) <= maxPendingPrefillShare * static_cast<double>(capacity);
    bool fitsCache = cached.isZero() || cached + query.promptTokens + query.maxOutputTokens <= base::TokenCount(capacity);
    return canPrefill && fitsCache;
}

// Beyond this, backups would take the memory that waiting requests need to be served at all.
static constexpr double maxUtilisationWithBackups = 0.6;

bool PoolEntry::hasRoomForBackup(const PlacementQuery& query) const
{
    if (!query.engine || !query.engine->kvCapacityTokens)
        return true;
    auto cached = localLoad.kvTokens + peerLoad.kvTokens + query.promptTokens + query.maxOutputTokens;
    return static_cast<double>(cached) <= maxUtilisationWithBackups * static_cast<double>(query.engine->kvCapacityTokens);
}

} // namespace redwingseam::fleet
