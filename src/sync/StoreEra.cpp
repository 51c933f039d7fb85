#include "sync/StoreEra.h"

#include "log/LogLine.h"

#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace redwingseam::sync {

bool StoreEra::learn(uint64_t era, base::Instant now)
{
    std::optional<uint64_t> before;
    {
        std::lock_guard guard(m_mutex);
        if (m_current == era)
            return true;
        if (m_current && era < *m_current)
            return false;
        before = std::exchange(m_current, era);
        if (before)
            m_restoredAt = now;
    }
    if (before)
        LOG(WARNING) << log::LogLine("store_restored").with("era", era).with("previous_era", *before).text();
    return true;
}

std::optional<uint64_t> StoreEra::current() const
{
    std::lock_guard guard(m_mutex);
    return m_current;
}

base::Instant StoreEra::restoredAt() const
{
    std::lock_guard guard(m_mutex);
    return m_restoredAt;
}

} // namespace redwingseam::sync
