#pragma once

#include "schedule/RankFloors.h"

#include <array>
#include <cstdint>
#include <optional>

namespace redwingseam::schedule {

// Chooses the rank to serve next: the highest one with work, except that a rank whose credit covers
// its next piece of work goes first. Credit grows with all cost served while the rank waits, at the
// rank's floor, and is forfeited when the rank has nothing waiting.
class RankSelector {
public:
    // Cost of the next work of each rank; nothing where a rank has none waiting.
    using HeadCosts = std::array<std::optional<uint64_t>, base::rankCount>;

    void setFloors(const RankFloors& floors) { m_floors = floors; }
    const RankFloors& floors() const { return m_floors; }

    // Chooses a rank and books its head's cost. Nothing if no rank has work.
    std::optional<base::Rank> select(const HeadCosts&);

private:
    std::optional<size_t> rankWithCredit(const HeadCosts&) const;
    void accrue(const HeadCosts&, uint64_t servedCost);

    RankFloors m_floors;
    // In thousandths of a cost unit.
    std::array<int64_t, base::rankCount> m_credit {};
};

} // namespace redwingseam::schedule
