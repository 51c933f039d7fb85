#pragma once

#include "redwingseam/node/Effect.h"

namespace redwingseam::node {

// Carries out a node's effects. `emit` is called with no lock held, possibly from several threads at
// once, and may not wait for long.
template<typename T>
concept EffectSink = requires(T& sink, Effect effect)
{
    sink.emit(std::move(effect));
};

} // namespace redwingseam::node
