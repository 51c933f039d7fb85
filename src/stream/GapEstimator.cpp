#include "stream/GapEstimator.h"

#include <cstdint>

namespace redwingseam::stream {

// Same weights as for the round-trip time estimate in RFC 6298.
static constexpr int64_t meanDivisor = 8;
static constexpr int64_t deviationDivisor = 4;

void GapEstimator::add(base::Duration gap)
{
    if (!m_samples++) {
        m_mean = gap;
        m_deviation = gap / 2;
        return;
    }
    auto error = gap > m_mean ? gap - m_mean : m_mean - gap;
    m_deviation += (error - m_deviation) / deviationDivisor;
    m_mean += (gap - m_mean) / meanDivisor;
}

} // namespace redwingseam::stream
