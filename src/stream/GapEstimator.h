#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::stream {

// Mean and deviation of the time between a stream's tokens, as exponentially weighted averages.
class GapEstimator {
public:
    void add(base::Duration gap);
    bool hasSamples() const { return m_samples > 0; }
    base::Duration mean() const { return m_mean; }
    base::Duration deviation() const { return m_deviation; }

private:
    base::Duration m_mean {};
    base::Duration m_deviation {};
    uint32_t m_samples = 0;
};

} // namespace redwingseam::stream
