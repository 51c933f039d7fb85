#include "redwingseam/report/Counters.h"

namespace redwingseam::report {

void Counters::add(const Counters& other)
{
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        requests[rank] += other.requests[rank];
        finished[rank] += other.finished[rank];
        refused[rank] += other.refused[rank];
    }
    preemptions += other.preemptions;
    suspicions += other.suspicions;
    upstreamLosses += other.upstreamLosses;
}

} // namespace redwingseam::report
