#pragma once

#include "redwingseam/base/Instant.h"

#include <cstddef>
#include <optional>

namespace redwingseam::gateway {

// Tells whether a client that sends a request, or reads a response, makes progress. Not synchronised.
class TransferProgress {
public:
    // Begins anew, for another request or response.
    void reset(base::Instant now)
    {
        m_windowStartedAt = m_lastTransferAt = now;
        m_windowBytes = 0;
        m_lastWindowBytes.reset();
    }
    void record(size_t bytes, base::Instant now)
    {
        if (now - m_windowStartedAt >= window) {
            m_lastWindowBytes = m_windowBytes;
            m_windowBytes = 0;
            m_windowStartedAt = now;
        }
        m_windowBytes += bytes;
        m_lastTransferAt = now;
    }
    // Whether nothing was transferred of late, or so little that the client may hold its memory for long.
    bool isStalled(base::Instant now) const
    {
        if (now - m_lastTransferAt >= window)
            return true;
        if (now - m_windowStartedAt >= window)
            return m_windowBytes < minWindowBytes;
        return m_lastWindowBytes && *m_lastWindowBytes < minWindowBytes;
    }

private:
    static constexpr base::Duration window = std::chrono::milliseconds(500);
    static constexpr size_t minWindowBytes = 4 * 1024;

    base::Instant m_windowStartedAt {};
    base::Instant m_lastTransferAt {};
    size_t m_windowBytes = 0;
    // Of the window before the current one, if there was one.
    std::optional<size_t> m_lastWindowBytes;
};

} // namespace redwingseam::gateway
