#include "node/SuspectWard.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::node {

void SuspectWard::add(HeldSuspect suspect)
{
    std::lock_guard guard(m_mutex);
    m_held.push_back(std::move(suspect));
}

std::vector<HeldSuspect> SuspectWard::takeDue(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    std::vector<HeldSuspect> due;
    std::erase_if(m_held, [&](HeldSuspect& suspect) {
        if (now < suspect.notBefore)
            return false;
        due.push_back(std::move(suspect));
        return true;
    });
    return due;
}

size_t SuspectWard::size()
{
    std::lock_guard guard(m_mutex);
    return m_held.size();
}

} // namespace redwingseam::node
