#pragma once

#include "route/PrefixIndex.h"
#include "route/UpstreamView.h"
#include "schedule/QueuedWork.h"

#include <concepts>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace redwingseam::route {

// Chooses an upstream for a piece of work from all upstreams of a pool. Returns an index into `upstreams`
// with a free slot, or nothing if no upstream is suitable.
template<typename T>
concept Chooser = requires(T& chooser, std::span<const UpstreamView> upstreams, const PrefixIndex& prefixes, const schedule::QueuedWork& work, std::minstd_rand& random)
{
    chooser.rebuild(upstreams);
    // Returns a hash that differs between nodes, so that they neither make the same choices nor change their
    // concurrency limits at the same time.
    {
        chooser.nodeHash()
        } -> std::same_as<uint64_t>;
    {
        chooser.choose(upstreams, prefixes, work, random)
        } -> std::same_as<std::optional<uint32_t>>;
};

} // namespace redwingseam::route
