#pragma once

#include <cstdint>

namespace redwingseam::route {

// Requests that this node keeps at one upstream: starts at the node's even share of the slots, grows
// by one where the upstream has room, and shrinks where it queues. Additive increase and
// multiplicative decrease let nodes converge on fair shares without talking to each other.
class ConcurrencyLimit {
public:
    ConcurrencyLimit(uint32_t slots, uint32_t nodesSharing);

    // One load report: requests running and waiting at the upstream, and how many are this node's.
    void observe(uint32_t running, uint32_t waiting, uint32_t own);
    uint32_t value() const { return m_value; }

private:
    uint32_t m_slots;
    uint32_t m_value;
};

} // namespace redwingseam::route
