#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <array>
#include <cstddef>

namespace redwingseam::forward {

// Durations of recent streams, from the first time that their request was sent to their end. Thread-safe.
class StreamDurations {
public:
    void record(base::Duration);
    // Returns the 80th percentile of the recent durations, but at least `minEstimate`. Returns `minEstimate` also while
    // fewer than `minSamples` durations are recorded.
    base::Duration estimate() const;

private:
    // Covers the streams of a few seconds on one node; older ones say little about the current load.
    static constexpr size_t maxSamples = 64;
    static constexpr size_t minSamples = 8;
    static constexpr double quantile = 0.8;
    // Most generations of the system's two users end within this time. One in five takes longer, and a draining node
    // must not wait for it.
    static constexpr base::Duration minEstimate = std::chrono::milliseconds(6000);

    mutable base::Mutex m_mutex;
    std::array<base::Duration, maxSamples> m_samples {};
    size_t m_count = 0;
};

} // namespace redwingseam::forward
