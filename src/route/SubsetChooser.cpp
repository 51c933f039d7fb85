#include "route/SubsetChooser.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::route {

// Scale of the load part of a score, which is this times the weighted requests over twice the slots. With all
// slots taken it is about 500 if no request is this node's, and about 2500 if all are.
static constexpr int64_t fullLoadScore = 1000;
static constexpr int64_t cachedBlockScore = 60;
static constexpr int64_t maxCacheScore = 400;
// Added to the one by which each own request counts in the estimated load.
static constexpr int64_t ownRequestWeight = 4;
static constexpr int64_t avoidedPenalty = 4000;
static constexpr int64_t maxSlowness = 4;
static constexpr size_t tierCount = 2;
static constexpr size_t standardChoices = 2;
static constexpr size_t urgentChoices = 3;

// Returns the mean token gap over a link tier's subset, the reference for detecting upstreams that are alive
// but slow.
static int64_t meanTokenGap(std::span<const UpstreamView> upstreams, const std::vector<uint32_t>& tier)
{
    int64_t sum = 0;
    int64_t count = 0;
    for (auto index : tier) {
        if (auto gap = upstreams[index].tokenGap) {
            sum += gap;
            ++count;
        }
    }
    return count ? sum / count : 0;
}

static int64_t slowness(const UpstreamView& view, int64_t meanGap)
{
    if (!meanGap || !view.tokenGap)
        return 1;
    return std::clamp<int64_t>(view.tokenGap / meanGap, 1, maxSlowness);
}

static int64_t score(const UpstreamView& view, const schedule::QueuedWork& work, uint32_t cachedBlocks, int64_t meanGap)
{
    // Load reports are late and the same for all nodes. This node's own requests weigh more, because nodes
    // that all followed the reports would choose the same upstream.
    int64_t requests = view.estimatedLoad() + ownRequestWeight * view.ownRequests() + 1;
    int64_t load = requests * fullLoadScore / (2 * std::max(1U, view.record.slots));
    int64_t result = load * slowness(view, meanGap);
    result -= std::min(maxCacheScore, cachedBlocks * cachedBlockScore);
    if (view.record.name == work.avoidedUpstream)
        result += avoidedPenalty;
    return result;
}

uint64_t SubsetChooser::nodeHash() const
{
    return base::hashBytes(m_self.text);
}

void SubsetChooser::rebuild(std::span<const UpstreamView> upstreams)
{
    m_tiers.assign(tierCount, {});
    std::vector<std::vector<std::pair<uint64_t, uint32_t>>> byHash(tierCount);
    for (uint32_t index = 0; index < upstreams.size(); ++index) {
        if (upstreams[index].record.state != UpstreamState::Live)
            continue;
        auto tier = std::min<size_t>(upstreams[index].linkTier, tierCount - 1);
        byHash[tier].emplace_back(base::hashBytes(upstreams[index].record.name.text, nodeHash()), index);
    }
    for (size_t tier = 0; tier < tierCount; ++tier) {
        auto kept = std::min(subsetSize, byHash[tier].size());
        std::partial_sort(byHash[tier].begin(), byHash[tier].begin() + static_cast<ptrdiff_t>(kept), byHash[tier].end());
        for (size_t i = 0; i < kept; ++i)
            m_tiers[tier].push_back(byHash[tier][i].second);
    }
}

std::optional<uint32_t> SubsetChooser::choose(std::span<const UpstreamView> upstreams, const PrefixIndex& prefixes, const schedule::QueuedWork& work, std::minstd_rand& random)
{
    for (const auto& tier : m_tiers) {
        if (auto best = bestInTier(upstreams, tier, prefixes, work, random))
            return best;
    }
    return firstUsable(upstreams, work.rank, random);
}

std::optional<uint32_t> SubsetChooser::bestInTier(std::span<const UpstreamView> upstreams, const std::vector<uint32_t>& tier, const PrefixIndex& prefixes, const schedule::QueuedWork& work, std::minstd_rand& random) const
{
    if (tier.empty())
        return std::nullopt;
    auto meanGap = meanTokenGap(upstreams, tier);
    std::optional<uint32_t> best;
    int64_t bestScore = 0;
    auto consider = [&](uint32_t index, uint32_t cachedBlocks) {
        if (!upstreams[index].hasFreeSlot(work.rank))
            return;
        auto candidate = score(upstreams[index], work, cachedBlocks, meanGap);
        if (!best || candidate < bestScore) {
            best = index;
            bestScore = candidate;
        }
    };
    auto linkTier = upstreams[tier.front()].linkTier;
    for (const auto& holder : prefixes.holders(work.prefixHashes)) {
        if (holder.upstreamIndex < upstreams.size() && upstreams[holder.upstreamIndex].linkTier == linkTier)
            consider(holder.upstreamIndex, holder.depth);
    }
    // Urgent work compares more candidates. Comparing all of them would make the nodes choose the same one.
    auto choices = work.rank == base::Rank::Urgent ? urgentChoices : standardChoices;
    for (size_t choice = 0; choice < choices; ++choice)
        consider(tier[random() % tier.size()], 0);
    bool isAvoided = best && upstreams[*best].record.name == work.avoidedUpstream;
    if (!best || isAvoided) {
        for (auto index : tier)
            consider(index, 0);
    }
    return best;
}

// Called only when no upstream of the subset has a free slot: any other upstream is better than waiting.
std::optional<uint32_t> SubsetChooser::firstUsable(std::span<const UpstreamView> upstreams, base::Rank rank, std::minstd_rand& random)
{
    if (upstreams.empty())
        return std::nullopt;
    auto start = random() % upstreams.size();
    for (size_t step = 0; step < upstreams.size(); ++step) {
        auto index = static_cast<uint32_t>((start + step) % upstreams.size());
        if (upstreams[index].hasFreeSlot(rank))
            return index;
    }
    return std::nullopt;
}

} // namespace redwingseam::route
