#pragma once

#include "redwingseam/base/Mutex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace redwingseam::base {

// State split into `Count` shards, each under its own lock. `with` runs a function on the shard whose
// index is `hash` modulo `Count`. The function must not access another shard: a thread holds at most one shard's lock.
// Thread-safe.
template<typename State, size_t Count = 16>
class Sharded {
public:
    static constexpr size_t count() { return Count; }

    template<typename Function>
    decltype(auto) with(uint64_t hash, Function&& function)
    {
        auto& shard = m_shards[hash % Count];
        std::lock_guard guard(shard.mutex);
        return function(shard.state);
    }

    // Visits the shards one after another and never holds two locks at once.
    template<typename Function>
    void forEach(Function&& function)
    {
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.mutex);
            function(shard.state);
        }
    }

private:
    struct alignas(64) Shard {
        Mutex mutex;
        State state;
    };

    std::array<Shard, Count> m_shards;
};

} // namespace redwingseam::base
