#include "redwingseam/report/BurnRateCell.h"

namespace redwingseam::report {

void BurnRateCell::add(const BurnRateCell& other)
{
    met += other.met;
    missed += other.missed;
    for (size_t cause = 0; cause < missCauseCount; ++cause)
        causes[cause] += other.causes[cause];
    objectivePermille = other.objectivePermille;
}

double BurnRateCell::burnRate() const
{
    auto total = met + missed;
    if (!total)
        return 0;
    double budget = static_cast<double>(1000 - objectivePermille) / 1000;
    double missedShare = static_cast<double>(missed) / static_cast<double>(total);
    // An objective of 1000 permille has no error budget, so any miss counts as the highest reported burn rate.
    static constexpr double maxBurnRate = 1000;
    if (budget <= 0)
        return missed ? maxBurnRate : 0;
    return missedShare / budget;
}

} // namespace redwingseam::report
