#pragma once

#include <cstdint>

namespace redwingseam::route {

// Requests that this node keeps at one upstream. It starts at the node's even share of the slots. Each
// load report says how much room the upstream has or how much waits there; each node takes on or gives
// up its share of that, in fractions that add up, so that all nodes together neither leave the upstream
// idle nor make it queue, and need not talk to each other.
class ConcurrencyLimit {
public:
    // `phase` differs between nodes, so that they do not all step at the same report.
    ConcurrencyLimit(uint32_t slots, uint32_t nodesSharing, uint64_t phase);

    // One load report: requests running and waiting at the upstream, and how many are this node's.
    void observe(uint32_t running, uint32_t waiting, uint32_t ownRequests);
    uint32_t value() const { return m_value; }
    // Slots of the upstream that all nodes leave free for urgent work.
    uint32_t reserve() const;

private:
    static constexpr int64_t unitsPerRequest = 1000;

    // Requests that the upstream should have from all nodes together.
    int64_t target() const;

    uint32_t m_slots;
    uint32_t m_nodesSharing;
    uint32_t m_value;
    // In thousandths of a request.
    int64_t m_fraction;
};

} // namespace redwingseam::route
