#pragma once

#include "gateway/Worker.h"

namespace redwingseam::gateway {

// Worker threads of a gateway, one per processor core. Distributes connections round-robin.
template<HeaderCodec Codec>
class WorkerPool {
public:
    explicit WorkerPool(GatewayState& state)
    {
        for (unsigned number = 0; number < std::max(1U, state.settings.cores); ++number)
            m_workers.push_back(std::make_unique<Worker<Codec>>(state, number));
    }

    void addConnection(base::FileDescriptor socket)
    {
        auto number = m_nextWorker++;
        m_workers[number % m_workers.size()]->addConnection(std::move(socket));
    }

private:
    std::vector<std::unique_ptr<Worker<Codec>>> m_workers;
    std::atomic<size_t> m_nextWorker { 0 };
};

} // namespace redwingseam::gateway
