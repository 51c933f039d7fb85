#include "forward/TurnOrder.h"

#include <algorithm>

namespace redwingseam::forward {

void TurnOrder::setPosition(uint32_t position, uint32_t nodeCount)
{
    m_position = position;
    m_nodeCount = std::max(1U, nodeCount);
}

bool TurnOrder::isTurn(uint64_t key, base::Instant dueAt, base::Instant now) const
{
    if (now < dueAt)
        return false;
    uint64_t nodeCount = m_nodeCount;
    static constexpr int64_t maxDoublings = 32;
    auto allowedNodes = uint64_t { 1 } << std::min<int64_t>((now - dueAt) / turnDuration, maxDoublings);
    auto place = (m_position + key % nodeCount) % nodeCount;
    return place < allowedNodes;
}

} // namespace redwingseam::forward
