#pragma once

#include "redwingseam/base/Rank.h"
#include "redwingseam/report/BurnRateCell.h"
#include "redwingseam/report/Objective.h"
#include "redwingseam/report/Window.h"

#include <array>

namespace redwingseam::report {

// Burn rates of every objective, by rank and window. Reports of several VMs can be added up. Not synchronised.
struct BurnRateReport {
    std::array<std::array<std::array<BurnRateCell, windowCount>, objectiveCount>, base::rankCount> cells;

    BurnRateCell& cell(base::Rank rank, Objective objective, Window window) { return cells[base::indexOf(rank)][indexOf(objective)][static_cast<size_t>(window)]; }
    const BurnRateCell& cell(base::Rank rank, Objective objective, Window window) const { return cells[base::indexOf(rank)][indexOf(objective)][static_cast<size_t>(window)]; }
    void add(const BurnRateReport& other);
};

} // namespace redwingseam::report
