#pragma once

#include "gateway/BufferUse.h"

#include <array>
#include <atomic>
#include <cstddef>

namespace redwingseam::gateway {

// Limits the memory that clients and upstreams make a process hold at the same time, so that they cannot exhaust that of a
// small VM. A use that can be refused or put off gets less of it: what clients send ahead or do not read may fill half,
// large headers five eighths, and the bodies of requests leave an eighth to responses, so that requests do not take the room
// of those that are being received. Thread-safe.
class BufferBudget {
public:
    explicit BufferBudget(size_t totalBytes)
        : m_total(totalBytes)
    {
    }

    // Returns whether `bytes` fit, and counts them if so. The caller must `release` them.
    bool tryReserve(size_t bytes, BufferUse use = BufferUse::Request)
    {
        auto total = m_used.fetch_add(bytes) + bytes;
        if (total <= limitBytes(use)) {
            if (total > m_peak)
                m_peak = total;
            m_usedFor[indexOf(use)] += bytes;
            return true;
        }
        m_used -= bytes;
        return false;
    }
    // Counts `bytes` that are taken in any case, so that other uses get less. The caller must `release` them.
    void reserveAlways(size_t bytes, BufferUse use)
    {
        auto total = m_used.fetch_add(bytes) + bytes;
        if (total > m_peak)
            m_peak = total;
        m_usedFor[indexOf(use)] += bytes;
    }
    void release(size_t bytes, BufferUse use = BufferUse::Request)
    {
        m_used -= bytes;
        m_usedFor[indexOf(use)] -= bytes;
    }
    // Returns how much all uses together may take for one more of this use to fit.
    size_t limitBytes(BufferUse use = BufferUse::Request) const
    {
        switch (use) {
        case BufferUse::ReadAhead:
        case BufferUse::UnreadResponse:
            return m_total / 2;
        case BufferUse::Head:
            return m_total / 8 * 5;
        case BufferUse::Request:
            return m_total - m_total / 8;
        case BufferUse::Response:
            break;
        }
        return m_total;
    }
    // Whether all uses together take more than this one may.
    bool isExceeded(BufferUse use) const { return m_used > limitBytes(use); }
    size_t usedBytes() const { return m_used; }
    // Returns about the most bytes that were used at once since the last call.
    size_t takePeakBytes() { return m_peak.exchange(m_used); }
    size_t usedBytes(BufferUse use) const { return m_usedFor[indexOf(use)]; }

private:
    static size_t indexOf(BufferUse use) { return static_cast<size_t>(use); }

    const size_t m_total;
    std::atomic<size_t> m_used { 0 };
    std::atomic<size_t> m_peak { 0 };
    std::array<std::atomic<size_t>, bufferUseCount> m_usedFor {};
};

} // namespace redwingseam::gateway
