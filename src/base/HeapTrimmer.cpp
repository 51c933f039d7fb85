#include "base/HeapTrimmer.h"

#include <algorithm>
#include <malloc.h>
#include <mutex>

namespace redwingseam::base {

void HeapTrimmer::update(size_t peakBytes, size_t usedBytes, Instant now)
{
    {
        std::lock_guard guard(m_mutex);
        m_peak = std::max(m_peak, peakBytes);
        bool hasFallen = m_peak >= minReturnedBytes && usedBytes <= m_peak / 4;
        if ((!hasFallen && !m_repeatsLeft) || now - m_trimmedAt < minInterval)
            return;
        m_repeatsLeft = hasFallen ? repeats : m_repeatsLeft - 1;
        m_peak = usedBytes;
        m_trimmedAt = now;
    }
    malloc_trim(0);
}

} // namespace redwingseam::base
