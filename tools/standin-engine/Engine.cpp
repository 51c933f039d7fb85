#include "Engine.h"

#include "base/MonotonicClock.h"

#include <mutex>

namespace redwingseam::standin {

bool Engine::canAcquireSlot(base::Rank rank) const
{
    if (m_running >= m_options.slots)
        return false;
    for (size_t higher = 0; higher < base::indexOf(rank); ++higher) {
        if (m_waiting[higher])
            return false;
    }
    return true;
}

void Engine::acquireSlot(base::Rank rank)
{
    std::lock_guard guard(m_mutex);
    ++m_waiting[base::indexOf(rank)];
    while (!canAcquireSlot(rank))
        m_stateChanged.wait(m_mutex);
    --m_waiting[base::indexOf(rank)];
    ++m_running;
    m_stateChanged.broadcast();
}

void Engine::releaseSlot()
{
    std::lock_guard guard(m_mutex);
    --m_running;
    m_stateChanged.broadcast();
}

size_t Engine::updatePrefixCache(std::span<const uint64_t> prefixHashes)
{
    std::lock_guard guard(m_mutex);
    size_t cachedBlocks = 0;
    for (auto hash : prefixHashes) {
        if (m_cache.contains(hash)) {
            ++cachedBlocks;
            continue;
        }
        m_cache.insert(hash);
        m_cacheInsertionOrder.push_back(hash);
        queueCacheEvent(hash, true);
        if (m_cache.size() <= m_options.cacheCapacity)
            continue;
        m_cache.erase(m_cacheInsertionOrder.front());
        queueCacheEvent(m_cacheInsertionOrder.front(), false);
        m_cacheInsertionOrder.pop_front();
    }
    return cachedBlocks;
}

void Engine::queueCacheEvent(uint64_t prefixHash, bool isStored)
{
    bool isDropped = m_options.droppedCacheEventInterval && ++m_cacheEventCount % m_options.droppedCacheEventInterval == 0;
    if (!isDropped)
        m_cacheEvents.emplace_back(base::MonotonicClock {}.now() + m_options.cacheEventDelay, route::CacheEvent { {}, prefixHash, isStored });
}

void Engine::delay(base::Duration duration)
{
    std::lock_guard guard(m_mutex);
    auto until = base::MonotonicClock {}.now() + duration * m_slowdownFactor;
    while (true) {
        auto now = base::MonotonicClock {}.now();
        if (m_isFrozen)
            m_stateChanged.wait(m_mutex);
        else if (now < until)
            m_stateChanged.waitFor(m_mutex, until - now);
        else
            return;
    }
}

void Engine::setFrozen(bool isFrozen)
{
    std::lock_guard guard(m_mutex);
    m_isFrozen = isFrozen;
    m_stateChanged.broadcast();
}

void Engine::setSlowdownFactor(uint32_t factor)
{
    std::lock_guard guard(m_mutex);
    m_slowdownFactor = factor;
}

void Engine::setLeaving()
{
    std::lock_guard guard(m_mutex);
    m_isLeaving = true;
}

route::LoadReport Engine::load()
{
    std::lock_guard guard(m_mutex);
    // A frozen engine does not answer health probes either.
    while (m_isFrozen)
        m_stateChanged.wait(m_mutex);
    uint32_t waiting = 0;
    for (auto count : m_waiting)
        waiting += count;
    return { {}, m_running, waiting, m_isLeaving };
}

std::vector<route::CacheEvent> Engine::takeCacheEvents()
{
    std::lock_guard guard(m_mutex);
    std::vector<route::CacheEvent> events;
    auto now = base::MonotonicClock {}.now();
    while (!m_cacheEvents.empty() && m_cacheEvents.front().first <= now) {
        events.push_back(m_cacheEvents.front().second);
        m_cacheEvents.pop_front();
    }
    return events;
}

} // namespace redwingseam::standin
