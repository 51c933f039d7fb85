#include "forward/StreamDurations.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::forward {

void StreamDurations::record(base::Duration duration)
{
    std::lock_guard guard(m_mutex);
    m_samples[m_count++ % maxSamples] = duration;
}

base::Duration StreamDurations::estimate() const
{
    std::lock_guard guard(m_mutex);
    if (m_count < minSamples)
        return minEstimate;
    auto sorted = m_samples;
    auto size = std::min(m_count, maxSamples);
    auto nth = sorted.begin() + static_cast<ptrdiff_t>(static_cast<double>(size) * quantile);
    std::nth_element(sorted.begin(), nth, sorted.begin() + static_cast<ptrdiff_t>(size));
    return std::max(*nth, minEstimate);
}

} // namespace redwingseam::forward
