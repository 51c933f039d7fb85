#pragma once

#include "redwingseam/base/Instant.h"

#include <algorithm>
#include <cstdint>

namespace redwingseam::sync {

// Computes the pause before a poller's next call to the store. The pause after a failure may be shorter, so that the
// node soon detects that the store has recovered. Nodes on which no other relies leave that to those that others rely on.
class PollSchedule {
public:
    PollSchedule(base::Duration interval, base::Duration retryInterval)
        : m_interval(interval)
        , m_retryInterval(retryInterval)
    {
    }

    // Returns the pause after a call. It is shortened by up to a quarter, depending on `random`, so that the nodes do
    // not call at the same time.
    base::Duration pauseAfter(bool succeeded, bool isResponsible, uint64_t random) const
    {
        auto pause = succeeded ? m_interval : m_retryInterval;
        if (!succeeded && !isResponsible)
            pause = std::max(pause, lastResortRetryInterval);
        auto maxJitter = pause.count() / 4;
        return pause - base::Duration(static_cast<int64_t>(random % static_cast<uint64_t>(maxJitter + 1)));
    }

private:
    static constexpr base::Duration lastResortRetryInterval = std::chrono::seconds(4);

    base::Duration m_interval;
    base::Duration m_retryInterval;
};

} // namespace redwingseam::sync
