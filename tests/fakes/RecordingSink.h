#pragma once

#include "redwingseam/node/Effect.h"

#include <utility>

namespace redwingseam::fakes {

// Records effects in the order of emission.
class RecordingSink {
public:
    void emit(node::Effect effect) { m_effects.push_back(std::move(effect)); }
    node::EffectList take() { return std::exchange(m_effects, {}); }

private:
    node::EffectList m_effects;
};

} // namespace redwingseam::fakes
