#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <pthread.h>

namespace redwingseam::base {

// RAII wrapper of a POSIX condition variable whose timeouts use the monotonic clock.
class Condition {
public:
    Condition();
    ~Condition() { pthread_cond_destroy(&m_native); }
    Condition(const Condition&) = delete;
    Condition& operator=(const Condition&) = delete;

    void wait(Mutex& mutex) { pthread_cond_wait(&m_native, &mutex.native()); }
    // Returns false if `timeout` has passed. Spurious wakeups occur, so callers must recheck their state.
    bool waitFor(Mutex&, Duration timeout);
    void signal() { pthread_cond_signal(&m_native); }
    void broadcast() { pthread_cond_broadcast(&m_native); }

private:
    pthread_cond_t m_native;
};

} // namespace redwingseam::base
