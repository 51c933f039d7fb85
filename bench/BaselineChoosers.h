#pragma once

#include "route/Chooser.h"

namespace redwingseam::bench {

// Returns the index of the first upstream with a free slot at or after `start`, wrapping around.
inline std::optional<uint32_t> firstFree(std::span<const route::UpstreamView> upstreams, base::Rank rank, size_t start)
{
    for (size_t step = 0; step < upstreams.size(); ++step) {
        auto index = (start + step) % upstreams.size();
        if (upstreams[index].hasFreeSlot(rank))
            return static_cast<uint32_t>(index);
    }
    return std::nullopt;
}

// Baseline: chooses an upstream at random.
struct RandomChooser {
    uint64_t nodeHash() const { return 0; }
    void rebuild(std::span<const route::UpstreamView>) { }
    std::optional<uint32_t> choose(std::span<const route::UpstreamView> upstreams, const route::PrefixIndex&, const schedule::QueuedWork& work, std::minstd_rand& random)
    {
        return firstFree(upstreams, work.rank, random() % upstreams.size());
    }
};

// Baseline: chooses the upstreams round robin.
struct RoundRobinChooser {
    uint64_t nodeHash() const { return 0; }
    void rebuild(std::span<const route::UpstreamView>) { }
    std::optional<uint32_t> choose(std::span<const route::UpstreamView> upstreams, const route::PrefixIndex&, const schedule::QueuedWork& work, std::minstd_rand&)
    {
        return firstFree(upstreams, work.rank, nextIndex++ % upstreams.size());
    }
    size_t nextIndex = 0;
};

// Baseline: chooses the upstream with the least reported load, regardless of the age of the report.
struct LeastReportedChooser {
    uint64_t nodeHash() const { return 0; }
    void rebuild(std::span<const route::UpstreamView>) { }
    std::optional<uint32_t> choose(std::span<const route::UpstreamView> upstreams, const route::PrefixIndex&, const schedule::QueuedWork& work, std::minstd_rand&)
    {
        std::optional<uint32_t> best;
        for (uint32_t index = 0; index < upstreams.size(); ++index) {
            bool isBetter = upstreams[index].hasFreeSlot(work.rank) && (!best || upstreams[index].reportedLoad < upstreams[*best].reportedLoad);
            if (isBetter)
                best = index;
        }
        return best;
    }
};

static_assert(route::Chooser<RandomChooser>);
static_assert(route::Chooser<RoundRobinChooser>);
static_assert(route::Chooser<LeastReportedChooser>);

} // namespace redwingseam::bench
