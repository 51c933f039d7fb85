#pragma once

#include <cstdint>

namespace redwingseam::route {

// The number of requests that this node keeps at one upstream. It starts at the node's even share of the
// slots. Each load report shows how many slots are free or how many requests are queued there. Each node
// takes or releases its share of that and accumulates fractions, so that all nodes together neither leave the
// upstream idle nor make it queue, without coordination.
class ConcurrencyLimit {
public:
    // `phase` differs between nodes, so that they do not all change their limits at the same report.
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
