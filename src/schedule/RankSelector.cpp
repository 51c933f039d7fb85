#include "schedule/RankSelector.h"

#include <algorithm>

namespace redwingseam::schedule {

static constexpr int64_t creditPerCost = 1000;

std::optional<base::Rank> RankSelector::select(const HeadCosts& heads)
{
    auto chosen = rankWithCredit(heads);
    bool usesCredit = chosen.has_value();
    for (size_t rank = 0; rank < base::rankCount && !chosen; ++rank) {
        if (heads[rank])
            chosen = rank;
    }
    if (!chosen)
        return std::nullopt;
    accrue(heads, *heads[*chosen]);
    if (usesCredit)
        m_credit[*chosen] -= static_cast<int64_t>(*heads[*chosen]) * creditPerCost;
    else
        // Served in its own right: this counts towards the floor, but never builds up a debt.
        m_credit[*chosen] = std::max<int64_t>(0, m_credit[*chosen] - static_cast<int64_t>(*heads[*chosen]) * creditPerCost);
    return static_cast<base::Rank>(*chosen);
}

std::optional<size_t> RankSelector::rankWithCredit(const HeadCosts& heads) const
{
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        bool hasFloor = m_floors.permille[rank] > 0;
        if (hasFloor && heads[rank] && m_credit[rank] >= static_cast<int64_t>(*heads[rank]) * creditPerCost)
            return rank;
    }
    return std::nullopt;
}

void RankSelector::accrue(const HeadCosts& heads, uint64_t servedCost)
{
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        if (!heads[rank])
            m_credit[rank] = 0;
        else
            m_credit[rank] += static_cast<int64_t>(servedCost) * m_floors.permille[rank];
    }
}

} // namespace redwingseam::schedule
