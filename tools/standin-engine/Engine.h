#pragma once

#include "EngineOptions.h"
#include "base/Condition.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <array>
#include <deque>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace redwingseam::standin {

// State of the stand-in engine: slots allocated by priority, a prefix cache, and switches for fault
// injection. Thread-safe.
class Engine {
public:
    explicit Engine(EngineOptions options)
        : m_options(std::move(options))
    {
    }

    const EngineOptions& options() const { return m_options; }

    // Waits for a free slot. Requests of a higher rank are served first.
    void acquireSlot(base::Rank);
    void releaseSlot();
    // Inserts the prompt's prefixes into the cache and evicts entries in insertion order beyond its capacity. Returns
    // the number of prefix blocks that were cached before; the prefill skips them.
    size_t updatePrefixCache(std::span<const uint64_t> prefixHashes);
    // Waits for `duration` times the slowdown factor, and for as long as the engine is frozen.
    void delay(base::Duration);

    void setFrozen(bool);
    void setSlowdownFactor(uint32_t factor);
    void setLeaving();
    // Returns the current load. Blocks while the engine is frozen.
    route::LoadReport load();
    // Returns and removes the cache events whose publication delay has passed.
    std::vector<route::CacheEvent> takeCacheEvents();

private:
    bool canAcquireSlot(base::Rank) const;
    void queueCacheEvent(uint64_t prefixHash, bool isStored);

    EngineOptions m_options;
    base::Mutex m_mutex;
    base::Condition m_stateChanged;
    uint32_t m_running = 0;
    std::array<uint32_t, base::rankCount> m_waiting {};
    bool m_isFrozen = false;
    bool m_isLeaving = false;
    uint32_t m_slowdownFactor = 1;
    std::set<uint64_t> m_cache;
    std::deque<uint64_t> m_cacheInsertionOrder;
    std::deque<std::pair<base::Instant, route::CacheEvent>> m_cacheEvents;
    uint32_t m_cacheEventCount = 0;
};

} // namespace redwingseam::standin
