#pragma once

#include "base/TokenCount.h"
#include "schedule/RankFloors.h"

#include <array>
#include <cstdint>
#include <optional>

namespace redwingseam::schedule {

// Selects the rank to serve next: the highest one with work, except that a rank with a floor whose credit
// covers the cost of its next item goes first. All cost served earns each rank credit in proportion to its
// floor. The credit of a rank without work is capped at the cost of one item.
class RankSelector {
public:
    // Cost of the next item of each rank; empty for a rank without work.
    using HeadCosts = std::array<std::optional<base::TokenCount>, base::rankCount>;

    void setFloors(const RankFloors& floors) { m_floors = floors; }
    const RankFloors& floors() const { return m_floors; }

    // Selects a rank, not below `lowest`, and charges it the cost of its next item. Returns nullopt if no such
    // rank has work.
    std::optional<base::Rank> select(const HeadCosts&, base::Rank lowest);

private:
    std::optional<size_t> rankWithCredit(const HeadCosts&, size_t lowest) const;
    void accrue(const HeadCosts&, base::TokenCount servedCost);
    // Returns the credit that a cost uses up.
    static int64_t creditFor(base::TokenCount cost) { return static_cast<int64_t>(cost.value()) * creditPerCostUnit; }

    RankFloors m_floors;
    static constexpr int64_t creditPerCostUnit = 1000;
    static constexpr int64_t initialCost = 100;

    // In thousandths of a cost unit. The lower ranks start with the credit of one item, the cap for a rank
    // without work, so that their first item need not wait for credit to accrue.
    std::array<int64_t, base::rankCount> m_credit { 0, initialCost* creditPerCostUnit, initialCost* creditPerCostUnit };
    std::array<base::TokenCount, base::rankCount> m_lastCost { initialCost, initialCost, initialCost };
};

} // namespace redwingseam::schedule
