#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/node/Effect.h"

#include <mutex>
#include <utility>

namespace redwingseam::fakes {

// Records effects that several threads emit concurrently.
class ThreadSafeRecordingSink {
public:
    void emit(node::Effect effect)
    {
        std::lock_guard guard(m_mutex);
        m_effects.push_back(std::move(effect));
    }

    node::EffectList take()
    {
        std::lock_guard guard(m_mutex);
        return std::exchange(m_effects, {});
    }

private:
    base::Mutex m_mutex;
    node::EffectList m_effects;
};

} // namespace redwingseam::fakes
