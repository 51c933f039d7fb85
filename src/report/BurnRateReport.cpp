#include "redwingseam/report/BurnRateReport.h"

namespace redwingseam::report {

void BurnRateReport::add(const BurnRateReport& other)
{
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        for (size_t objective = 0; objective < objectiveCount; ++objective) {
            for (size_t window = 0; window < windowCount; ++window)
                cells[rank][objective][window].add(other.cells[rank][objective][window]);
        }
    }
}

} // namespace redwingseam::report
