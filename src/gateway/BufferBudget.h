#pragma once

#include <atomic>
#include <cstddef>

namespace redwingseam::gateway {

// Limits the bytes of bodies that a process buffers at the same time, so that bodies without end cannot exhaust the
// memory of a small VM. Thread-safe.
class BufferBudget {
public:
    explicit BufferBudget(size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    // Returns whether `bytes` fit, and counts them if so. The caller must `release` them.
    bool tryReserve(size_t bytes)
    {
        if (m_used.fetch_add(bytes) + bytes <= m_limit)
            return true;
        m_used -= bytes;
        return false;
    }
    void release(size_t bytes) { m_used -= bytes; }
    size_t limitBytes() const { return m_limit; }
    size_t usedBytes() const { return m_used; }

private:
    const size_t m_limit;
    std::atomic<size_t> m_used { 0 };
};

} // namespace redwingseam::gateway
