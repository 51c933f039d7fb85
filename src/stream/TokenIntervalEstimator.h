#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::stream {

// Estimates the mean and deviation of the time between a stream's tokens by exponentially weighted moving
// averages.
class TokenIntervalEstimator {
public:
    void add(base::Duration interval);
    bool hasSamples() const { return m_samples > 0; }
    base::Duration mean() const { return m_mean; }
    base::Duration deviation() const { return m_deviation; }

private:
    base::Duration m_mean {};
    base::Duration m_deviation {};
    uint32_t m_samples = 0;
};

} // namespace redwingseam::stream
