#pragma once

namespace redwingseam::bench {

// Returns the processor time in nanoseconds used by the gateway's lane threads in this process.
double gatewayCpuNanos();

} // namespace redwingseam::bench
