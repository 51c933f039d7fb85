#include "standin/StopSignals.h"

#include <csignal>

namespace redwingseam::standin {

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void blockStopSignals()
{
    auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace redwingseam::standin
