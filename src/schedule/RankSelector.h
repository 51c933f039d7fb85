#pragma once

#include "schedule/RankFloors.h"

#include <array>
#include <cstdint>
#include <optional>

namespace redwingseam::schedule {

// Chooses the rank to serve next: the highest one with work, except that a rank whose credit covers
// its next piece of work goes first. Credit grows with all cost served, at the rank's floor; a rank with
// nothing waiting keeps no more than one piece of work needs.
class RankSelector {
public:
    // Cost of the next work of each rank; nothing where a rank has none waiting.
    using HeadCosts = std::array<std::optional<uint64_t>, base::rankCount>;

    void setFloors(const RankFloors& floors) { m_floors = floors; }
    const RankFloors& floors() const { return m_floors; }

    // Chooses a rank, not below `lowest`, and books its head's cost. Nothing if no such rank has work.
    std::optional<base::Rank> select(const HeadCosts&, base::Rank lowest);

private:
    std::optional<size_t> rankWithCredit(const HeadCosts&, size_t lowest) const;
    void accrue(const HeadCosts&, uint64_t servedCost);

    RankFloors m_floors;
    static constexpr uint64_t initialCost = 100;

    // In thousandths of a cost unit.
    std::array<int64_t, base::rankCount> m_credit { 0, initialCost * 1000, initialCost * 1000 };
    std::array<uint64_t, base::rankCount> m_lastCost { initialCost, initialCost, initialCost };
};

} // namespace redwingseam::schedule
