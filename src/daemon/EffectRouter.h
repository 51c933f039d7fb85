#pragma once

#include "redwingseam/node/Effect.h"

namespace redwingseam::daemon {

struct VmIo;

// Dispatches a node's effects to the servers and clients that execute them. Thread-safe.
class EffectRouter {
public:
    // Must be called before the first effect.
    void setTarget(VmIo& io) { m_io = &io; }
    void emit(node::Effect);

private:
    VmIo* m_io = nullptr;
};

} // namespace redwingseam::daemon
