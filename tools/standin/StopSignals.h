#pragma once

namespace redwingseam::standin {

// Blocks SIGTERM and SIGINT for the calling thread and those that it starts. Called first.
void blockStopSignals();

// Waits until the process is told to stop.
void waitForStopSignal();

} // namespace redwingseam::standin
