#pragma once

#include "gateway/BufferUse.h"

#include <atomic>
#include <cstddef>

namespace redwingseam::gateway {

// Limits the bytes of bodies that a process buffers at the same time, so that bodies without end cannot exhaust the
// memory of a small VM. An eighth is left to responses, so that requests do not take the room of those that are being
// received. Thread-safe.
class BufferBudget {
public:
    explicit BufferBudget(size_t totalBytes)
        : m_total(totalBytes)
    {
    }

    // Returns whether `bytes` fit, and counts them if so. The caller must `release` them.
    bool tryReserve(size_t bytes, BufferUse use = BufferUse::Request)
    {
        if (m_used.fetch_add(bytes) + bytes <= limitBytes(use))
            return true;
        m_used -= bytes;
        return false;
    }
    void release(size_t bytes) { m_used -= bytes; }
    size_t limitBytes(BufferUse use = BufferUse::Request) const { return use == BufferUse::Response ? m_total : m_total - m_total / 8; }
    size_t usedBytes() const { return m_used; }

private:
    const size_t m_total;
    std::atomic<size_t> m_used { 0 };
};

} // namespace redwingseam::gateway
