#include "stream/TokenIntervalEstimator.h"

#include <cstdint>

namespace redwingseam::stream {

// Same weights as for the round-trip time estimate in RFC 6298.
static constexpr int64_t meanDivisor = 8;
static constexpr int64_t deviationDivisor = 4;

void TokenIntervalEstimator::add(base::Duration interval)
{
    if (!m_samples++) {
        m_mean = interval;
        m_deviation = interval / 2;
        return;
    }
    auto error = interval > m_mean ? interval - m_mean : m_mean - interval;
    m_deviation += (error - m_deviation) / deviationDivisor;
    m_mean += (interval - m_mean) / meanDivisor;
}

} // namespace redwingseam::stream
