#pragma once

#include "redwingseam/node/Effect.h"

namespace redwingseam::node {

// Carries out the effects of a node. `emit` is called with no lock held, possibly from several threads at
// once. It must not block for long, since it runs on the thread that called into the node. The effects of one
// call are emitted in order. The effects of calls on different threads may be emitted in any order.
template<typename T>
concept EffectSink = requires(T& sink, Effect effect)
{
    sink.emit(std::move(effect));
};

} // namespace redwingseam::node
