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

// State of the stand-in engine: slots given out by priority, a prefix cache, and switches for faults.
// Thread-safe.
class Engine {
public:
    explicit Engine(EngineOptions options)
        : m_options(std::move(options))
    {
    }

    const EngineOptions& options() const { return m_options; }

    // Waits for a slot; a higher priority goes first.
    void acquireSlot(base::Rank);
    void releaseSlot();
    // Prompt blocks that the cache holds, which a prefill then skips. Puts the prompt's prefixes in.
    size_t updatePrefixCache(std::span<const uint64_t> prefixHashes);
    // Waits for `duration`, stretched by the slowness that is set, and for as long as frozen.
    void delay(base::Duration);

    void setFrozen(bool);
    void setSlowdownFactor(uint32_t factor);
    void setLeaving();
    route::LoadReport load();
    // Cache events that are old enough to be published.
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
