#pragma once

#include "base/MonotonicClock.h"
#include "base/SystemRandom.h"
#include "daemon/EffectRouter.h"
#include "redwingseam/node/Node.h"

namespace redwingseam::daemon {

// Node that runs on the system's clock and whose effects go to the VM's servers and clients.
class VmNode {
public:
    using NodeType = node::Node<base::MonotonicClock, base::SystemRandom, EffectRouter>;

    explicit VmNode(const node::NodeConfig& config)
        : m_node(config, m_clock, m_random, m_router)
    {
    }

    NodeType& node() { return m_node; }
    EffectRouter& router() { return m_router; }

private:
    base::MonotonicClock m_clock;
    base::SystemRandom m_random;
    EffectRouter m_router;
    NodeType m_node;
};

} // namespace redwingseam::daemon
