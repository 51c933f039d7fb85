#pragma once

#include "node/Pool.h"
#include "redwingseam/base/Ids.h"
#include "route/SubsetChooser.h"
#include "schedule/FairQueue.h"

#include <map>

namespace redwingseam::node {

using FairPool = Pool<schedule::FairQueue, route::SubsetChooser>;

// Pools of one shard.
struct PoolShard {
    std::map<base::PoolName, FairPool> pools;

    FairPool* find(const base::PoolName& name)
    {
        auto found = pools.find(name);
        return found == pools.end() ? nullptr : &found->second;
    }
};

} // namespace redwingseam::node
