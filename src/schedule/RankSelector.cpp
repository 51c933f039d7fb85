#include "schedule/RankSelector.h"

#include <algorithm>

namespace redwingseam::schedule {

std::optional<base::Rank> RankSelector::select(const HeadCosts& heads, base::Rank lowest)
{
    auto last = base::indexOf(lowest);
    auto chosen = rankWithCredit(heads, last);
    bool usesCredit = chosen.has_value();
    for (size_t rank = 0; rank <= last && !chosen; ++rank) {
        if (heads[rank])
            chosen = rank;
    }
    if (!chosen)
        return std::nullopt;
    accrue(heads, *heads[*chosen]);
    if (usesCredit)
        m_credit[*chosen] -= creditFor(*heads[*chosen]);
    else
        // Served by strict rank order: the cost counts towards the floor, but the credit never turns negative.
        m_credit[*chosen] = std::max<int64_t>(0, m_credit[*chosen] - creditFor(*heads[*chosen]));
    return static_cast<base::Rank>(*chosen);
}

std::optional<size_t> RankSelector::rankWithCredit(const HeadCosts& heads, size_t lowest) const
{
    for (size_t rank = 0; rank <= lowest; ++rank) {
        bool hasFloor = m_floors.permille[rank] > 0;
        if (hasFloor && heads[rank] && m_credit[rank] >= creditFor(*heads[rank]))
            return rank;
    }
    return std::nullopt;
}

void RankSelector::accrue(const HeadCosts& heads, base::TokenCount servedCost)
{
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        m_credit[rank] += static_cast<int64_t>(servedCost.value()) * m_floors.permille[rank];
        if (heads[rank])
            m_lastCost[rank] = *heads[rank];
        else
            // The credit of a rank without work is capped at the cost of one item. The next item then need
            // not wait for credit to accrue, and the rank cannot save credit up for a burst.
            m_credit[rank] = std::min(m_credit[rank], creditFor(m_lastCost[rank]));
    }
}

} // namespace redwingseam::schedule
