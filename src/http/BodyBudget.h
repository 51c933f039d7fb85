#pragma once

#include <atomic>
#include <cstddef>

namespace redwingseam::http {

// Limits the memory that the bodies of unfinished requests take together. Thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    // Returns whether `bytes` fit, and counts them if so. The caller must `release` them.
    bool tryReserve(size_t bytes)
    {
        if (m_used.fetch_add(bytes) + bytes > m_limit) {
            m_used -= bytes;
            return false;
        }
        recordPeak();
        return true;
    }
    // Counts `bytes` that are taken in any case, so that others get less. The caller must `release` them.
    void reserveAlways(size_t bytes)
    {
        m_used += bytes;
        recordPeak();
    }
    void release(size_t bytes) { m_used -= bytes; }
    size_t usedBytes() const { return m_used; }
    // Returns about the most bytes that were used at once since the last call.
    size_t takePeakBytes() { return m_peak.exchange(m_used); }

private:
    void recordPeak()
    {
        size_t used = m_used;
        if (used > m_peak)
            m_peak = used;
    }

    const size_t m_limit;
    std::atomic<size_t> m_used { 0 };
    std::atomic<size_t> m_peak { 0 };
};

} // namespace redwingseam::http
