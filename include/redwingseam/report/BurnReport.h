#pragma once

#include "redwingseam/base/Rank.h"
#include "redwingseam/report/BurnCell.h"
#include "redwingseam/report/Objective.h"
#include "redwingseam/report/Window.h"

#include <array>

namespace redwingseam::report {

// Burn of every objective by rank over each window. Reports of several VMs add up.
struct BurnReport {
    std::array<std::array<std::array<BurnCell, windowCount>, objectiveCount>, base::rankCount> cells;

    BurnCell& cell(base::Rank rank, Objective objective, Window window) { return cells[base::indexOf(rank)][indexOf(objective)][static_cast<size_t>(window)]; }
    const BurnCell& cell(base::Rank rank, Objective objective, Window window) const { return cells[base::indexOf(rank)][indexOf(objective)][static_cast<size_t>(window)]; }
    void add(const BurnReport& other);
};

} // namespace redwingseam::report
