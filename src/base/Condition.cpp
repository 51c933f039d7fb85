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
    timespec deadline {};
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    int64_t micros = deadline.tv_nsec / nanosPerMicro + timeout.count();
    deadline.tv_sec += micros / microsPerSecond;
    deadline.tv_nsec = (micros % microsPerSecond) * nanosPerMicro;
    return pthread_cond_timedwait(&m_native, &mutex.native(), &deadline) != ETIMEDOUT;
}

} // namespace redwingseam::base
