#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <array>
#include <cstddef>

namespace redwingseam::forward {

// How long streams took lately, from their arrival to their end. Thread-safe.
class StreamDurations {
public:
    void note(base::Duration);
    // Four of five streams ended within this time, which is never taken to be short.
    base::Duration estimate() const;

private:
    // A node's streams of some seconds; older ones say little of the load of now.
    static constexpr size_t maxSamples = 64;
    static constexpr size_t minSamples = 8;
    static constexpr double quantile = 0.8;
    // Most generations of the two users end within this time; one in five takes longer than the others, and a node
    // that stops must not wait for it.
    static constexpr base::Duration minEstimate = std::chrono::milliseconds(6000);

    mutable base::Mutex m_mutex;
    std::array<base::Duration, maxSamples> m_samples {};
    size_t m_count = 0;
};

} // namespace redwingseam::forward
