#include "forward/StreamDurations.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::forward {

void StreamDurations::note(base::Duration duration)
{
    std::lock_guard guard(m_mutex);
    m_kept[m_count++ % mostKept] = duration;
}

base::Duration StreamDurations::usual() const
{
    std::lock_guard guard(m_mutex);
    if (m_count < fewestKnown)
        return shortestUsual;
    auto sorted = m_kept;
    auto size = std::min(m_count, mostKept);
    auto place = sorted.begin() + static_cast<ptrdiff_t>(static_cast<double>(size) * usualShare);
    std::nth_element(sorted.begin(), place, sorted.begin() + static_cast<ptrdiff_t>(size));
    return std::max(*place, shortestUsual);
}

} // namespace redwingseam::forward
