#pragma once

namespace redwingseam::bench {

// Processor time, in nanoseconds, that the gateway's lane threads of this process have used.
double gatewayCpuNanos();

} // namespace redwingseam::bench
