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

// Choice of an upstream for a piece of work among all of a pool. Returns an index into `upstreams`
// with a free slot, nothing if there is none that suits.
template<typename T>
concept Chooser = requires(T& chooser, std::span<const UpstreamView> upstreams, const PrefixIndex& prefixes, const schedule::QueuedWork& work, std::minstd_rand& random)
{
    chooser.rebuild(upstreams);
    // Differs between nodes, so that they do not all do the same at the same time.
    {
        chooser.seed()
        } -> std::same_as<uint64_t>;
    {
        chooser.choose(upstreams, prefixes, work, random)
        } -> std::same_as<std::optional<uint32_t>>;
};

} // namespace redwingseam::route
