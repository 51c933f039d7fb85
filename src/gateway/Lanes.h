#pragma once

#include "gateway/Lane.h"

#include <array>

namespace redwingseam::gateway {

// The lanes of a gateway; connections are dealt to them in turn.
template<Dialect Names>
class Lanes {
public:
    explicit Lanes(GatewayState& state)
        : m_lanes { std::make_unique<Lane<Names>>(state, 0), std::make_unique<Lane<Names>>(state, 1) }
    {
    }

    void adopt(base::Socket socket)
    {
        m_lanes[m_next % m_lanes.size()]->adopt(std::move(socket));
        ++m_next;
    }

private:
    // A small VM has one core; the second lane keeps serving while the first is in a long step.
    std::array<std::unique_ptr<Lane<Names>>, 2> m_lanes;
    std::atomic<size_t> m_next { 0 };
};

} // namespace redwingseam::gateway
