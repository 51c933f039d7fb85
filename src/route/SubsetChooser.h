#pragma once

#include "redwingseam/base/Ids.h"
#include "route/Chooser.h"

namespace redwingseam::route {

// Chooses between two random upstreams of a subset that is fixed by hashing (three for urgent work) and the
// upstreams that probably hold the prompt's prefix. The nearest link tier is tried first; within a tier the
// lowest score of load, slowness and cached blocks wins. A node talks to a bounded number of upstreams, and
// the cost of a choice does not grow with the pool.
class SubsetChooser {
public:
    static constexpr size_t subsetSize = 24;

    explicit SubsetChooser(base::VmName self)
        : m_self(std::move(self))
    {
    }

    uint64_t nodeHash() const;
    void rebuild(std::span<const UpstreamView>);
    std::optional<uint32_t> choose(std::span<const UpstreamView>, const PrefixIndex&, const schedule::QueuedWork&, std::minstd_rand&);

private:
    std::optional<uint32_t> bestInTier(std::span<const UpstreamView>, const std::vector<uint32_t>& tier, const PrefixIndex&, const schedule::QueuedWork&, std::minstd_rand&) const;
    static std::optional<uint32_t> firstUsable(std::span<const UpstreamView>, base::Rank, std::minstd_rand&);

    base::VmName m_self;
    // Indices by link tier. Each tier is in rendezvous order and cut to subsetSize.
    std::vector<std::vector<uint32_t>> m_tiers;
};

static_assert(Chooser<SubsetChooser>);

} // namespace redwingseam::route
