#include "Engine.h"

#include "base/MonotonicClock.h"

#include <mutex>

namespace redwingseam::standin {

bool Engine::isNext(base::Rank rank) const
{
    if (m_running >= m_options.slots)
        return false;
    for (size_t higher = 0; higher < base::indexOf(rank); ++higher) {
        if (m_waiting[higher])
            return false;
    }
    return true;
}

void Engine::enter(base::Rank rank)
{
    std::lock_guard guard(m_mutex);
    ++m_waiting[base::indexOf(rank)];
    while (!isNext(rank))
        m_changed.wait(m_mutex);
    --m_waiting[base::indexOf(rank)];
    ++m_running;
    m_changed.broadcast();
}

void Engine::leave()
{
    std::lock_guard guard(m_mutex);
    --m_running;
    m_changed.broadcast();
}

size_t Engine::useCache(std::span<const uint64_t> prefixHashes)
{
    std::lock_guard guard(m_mutex);
    size_t held = 0;
    for (auto hash : prefixHashes) {
        if (m_cache.contains(hash)) {
            ++held;
            continue;
        }
        m_cache.insert(hash);
        m_cacheAge.push_back(hash);
        publish(hash, true);
        if (m_cache.size() <= m_options.cachedPrefixes)
            continue;
        m_cache.erase(m_cacheAge.front());
        publish(m_cacheAge.front(), false);
        m_cacheAge.pop_front();
    }
    return held;
}

void Engine::publish(uint64_t prefixHash, bool isStored)
{
    bool isLost = m_options.loseEveryCacheEvent && ++m_cacheEventCount % m_options.loseEveryCacheEvent == 0;
    if (!isLost)
        m_cacheEvents.emplace_back(base::MonotonicClock {}.now() + m_options.cacheEventDelay, route::CacheEvent { {}, prefixHash, isStored });
}

void Engine::pass(base::Duration duration)
{
    std::lock_guard guard(m_mutex);
    auto until = base::MonotonicClock {}.now() + duration * m_slowness;
    while (true) {
        auto now = base::MonotonicClock {}.now();
        if (m_isFrozen)
            m_changed.wait(m_mutex);
        else if (now < until)
            m_changed.waitFor(m_mutex, until - now);
        else
            return;
    }
}

void Engine::setFrozen(bool isFrozen)
{
    std::lock_guard guard(m_mutex);
    m_isFrozen = isFrozen;
    m_changed.broadcast();
}

void Engine::setSlowness(uint32_t factor)
{
    std::lock_guard guard(m_mutex);
    m_slowness = factor;
}

void Engine::setLeaving()
{
    std::lock_guard guard(m_mutex);
    m_isLeaving = true;
}

route::LoadReport Engine::load()
{
    std::lock_guard guard(m_mutex);
    // A frozen engine does not answer probes either.
    while (m_isFrozen)
        m_changed.wait(m_mutex);
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
