#pragma once

#include "redwingseam/base/Instant.h"

#include <atomic>

namespace redwingseam::node {

// Measures the time in which this process did not run, by the ticks that it missed. Thread-safe.
class StandstillMeter {
public:
    // `tickInterval` is the time between two ticks of a process that runs.
    explicit StandstillMeter(base::Duration tickInterval)
        : m_tickInterval(tickInterval)
    {
    }

    // Returns the time in which the process stood still before the tick at `now`, or zero.
    base::Duration pauseBefore(base::Instant now)
    {
        // On a busy machine ticks are late by less than this.
        static constexpr int maxMissedTicks = 4;
        auto previous = m_lastTickAt.exchange(now);
        auto sinceLastTick = now - previous;
        if (previous == base::Instant {} || sinceLastTick <= m_tickInterval * maxMissedTicks)
            return {};
        return sinceLastTick - m_tickInterval;
    }

private:
    base::Duration m_tickInterval;
    // When the last tick was; zero before the first.
    std::atomic<base::Instant> m_lastTickAt { base::Instant {} };
};

} // namespace redwingseam::node
