#pragma once

#include <cstdint>

namespace redwingseam::route {

// The number of requests that this node keeps at one upstream. It starts at the node's even share of the
// slots. Each load report shows how many requests there are above or below the target that all nodes share.
// A node that uses its whole limit adds an eighth of its share of the free slots per report; every node
// removes its whole share of an excess at once. Fractions accumulate, so that all nodes together neither
// leave the upstream idle nor make it queue, without coordination.
class ConcurrencyLimit {
public:
    // `initialFraction` modulo 1000 is the start value of the accumulated change, in thousandths of a
    // request. It differs between nodes, so that they do not all change their limits at the same report.
    ConcurrencyLimit(uint32_t slots, uint32_t nodesSharing, uint64_t initialFraction);

    // Applies one load report: the requests running and waiting at the upstream, and how many of them are
    // this node's.
    void observe(uint32_t running, uint32_t waiting, uint32_t ownRequests);
    uint32_t value() const { return m_value; }
    // Returns the slots of the upstream that all nodes keep free for urgent work.
    uint32_t reserve() const;

private:
    static constexpr int64_t unitsPerRequest = 1000;

    // Returns the number of requests that all nodes together should have at the upstream.
    int64_t target() const;

    uint32_t m_slots;
    uint32_t m_nodesSharing;
    uint32_t m_value;
    // Accumulated change of less than one request, in thousandths of a request.
    int64_t m_fraction;
};

} // namespace redwingseam::route
