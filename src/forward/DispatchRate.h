#pragma once

#include "base/TokenCount.h"
#include "redwingseam/base/Instant.h"

#include <algorithm>
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
        m_tokens = {};
    }
    void recordDispatch(base::TokenCount tokens) { m_tokens += tokens; }
    // Returns the time in which `tokens` will be dispatched, or nothing while too little has been measured.
    std::optional<base::Duration> timeFor(base::TokenCount tokens, base::Instant now) const
    {
        auto measured = now - m_startedAt;
        if (measured < minMeasurement || m_tokens.isZero())
            return std::nullopt;
        auto time = measured * (static_cast<double>(tokens) / static_cast<double>(m_tokens));
        return std::chrono::duration_cast<base::Duration>(std::min<decltype(time)>(time, maxTime));
    }

private:
    static constexpr base::Duration minMeasurement = std::chrono::milliseconds(500);
    // Longer times mean the same and would overflow the duration type.
    static constexpr base::Duration maxTime = std::chrono::hours(24);

    base::Instant m_startedAt {};
    base::TokenCount m_tokens;
};

} // namespace redwingseam::forward
