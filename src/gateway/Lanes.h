#pragma once

#include "gateway/Lane.h"

namespace redwingseam::gateway {

// The lanes of a gateway, one for each processor core; connections are dealt to them in turn.
template<Dialect Names>
class Lanes {
public:
    explicit Lanes(GatewayState& state)
    {
        for (unsigned number = 0; number < std::max(1U, state.settings.cores); ++number)
            m_lanes.push_back(std::make_unique<Lane<Names>>(state, number));
    }

    void adopt(base::FileDescriptor socket)
    {
        auto number = m_next++;
        m_lanes[number % m_lanes.size()]->adopt(std::move(socket));
    }

private:
    std::vector<std::unique_ptr<Lane<Names>>> m_lanes;
    std::atomic<size_t> m_next { 0 };
};

} // namespace redwingseam::gateway
