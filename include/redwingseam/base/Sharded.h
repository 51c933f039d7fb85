#pragma once

#include "redwingseam/base/Mutex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace redwingseam::base {

// `Count` copies of `State`, each under a lock of its own. `with` runs a function on the copy that a
// hash chooses. The function must not touch another shard: a thread holds one shard's lock at most.
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

    // Visits the shards one after the other; never holds two locks.
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
