#include "node/SuspectQueue.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::node {

void SuspectQueue::add(QueuedSuspect suspect)
{
    std::lock_guard guard(m_mutex);
    m_suspects.push_back(std::move(suspect));
}

std::vector<QueuedSuspect> SuspectQueue::takeDue(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    std::vector<QueuedSuspect> due;
    std::erase_if(m_suspects, [&](QueuedSuspect& suspect) {
        if (now < suspect.notBefore)
            return false;
        due.push_back(std::move(suspect));
        return true;
    });
    return due;
}

size_t SuspectQueue::size()
{
    std::lock_guard guard(m_mutex);
    return m_suspects.size();
}

} // namespace redwingseam::node
