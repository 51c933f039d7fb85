#pragma once

namespace redwingseam::standin {

// Blocks SIGTERM and SIGINT for the calling thread and all threads that it starts, and ignores SIGPIPE.
// Must be called before any other thread is started.
void blockStopSignals();

// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

} // namespace redwingseam::standin
