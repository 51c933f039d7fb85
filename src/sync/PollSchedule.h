#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::sync {

// When a poller of the store makes its next call. Failures are followed by shorter pauses, since the
// node must find out soon when the store is back.
class PollSchedule {
public:
    PollSchedule(base::Duration interval, base::Duration retryInterval)
        : m_interval(interval)
        , m_retryInterval(retryInterval)
    {
    }

    // Pause after a call; `random` spreads the calls of the nodes.
    base::Duration pauseAfter(bool succeeded, uint64_t random) const
    {
        auto pause = succeeded ? m_interval : m_retryInterval;
        auto maxJitter = pause.count() / 4;
        return pause - base::Duration(static_cast<int64_t>(random % static_cast<uint64_t>(maxJitter + 1)));
    }

private:
    base::Duration m_interval;
    base::Duration m_retryInterval;
};

} // namespace redwingseam::sync
