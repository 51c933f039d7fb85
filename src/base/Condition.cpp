#include "base/Condition.h"

#include <cerrno>
#include <ctime>

namespace redwingseam::base {

static constexpr int64_t microsPerSecond = 1'000'000;
static constexpr int64_t nanosPerMicro = 1'000;

Condition::Condition()
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&m_native, &attributes);
    pthread_condattr_destroy(&attributes);
}

bool Condition::waitFor(Mutex& mutex, Duration timeout)
{
    timespec until {};
    clock_gettime(CLOCK_MONOTONIC, &until);
    int64_t micros = until.tv_nsec / nanosPerMicro + timeout.count();
    until.tv_sec += micros / microsPerSecond;
    until.tv_nsec = (micros % microsPerSecond) * nanosPerMicro;
    return pthread_cond_timedwait(&m_native, &mutex.native(), &until) != ETIMEDOUT;
}

} // namespace redwingseam::base
