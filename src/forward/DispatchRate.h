#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>

namespace redwingseam::forward {

// Rate at which one node dispatches queued prompt tokens of a service, measured only while work waits, since an idle
// queue says nothing about the capacity. Not synchronised.
class DispatchRate {
public:
    // Starts a measurement when the queue becomes non-empty.
    void start(base::Instant now)
    {
        m_startedAt = now;
        m_tokens = 0;
    }
    void recordDispatch(uint64_t tokens) { m_tokens += tokens; }
    // Returns the time in which `tokens` will be dispatched, or nothing while too little has been measured.
    std::optional<base::Duration> timeFor(uint64_t tokens, base::Instant now) const
    {
        auto measured = now - m_startedAt;
        if (measured < minMeasurement || !m_tokens)
            return std::nullopt;
        return std::chrono::duration_cast<base::Duration>(measured * (static_cast<double>(tokens) / static_cast<double>(m_tokens)));
    }

private:
    static constexpr base::Duration minMeasurement = std::chrono::milliseconds(500);

    base::Instant m_startedAt {};
    uint64_t m_tokens = 0;
};

} // namespace redwingseam::forward
