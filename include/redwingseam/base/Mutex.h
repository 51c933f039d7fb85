#pragma once

#include <pthread.h>

namespace redwingseam::base {

// RAII wrapper of a POSIX mutex. Meets BasicLockable, so std::lock_guard accepts it.
class Mutex {
public:
    Mutex() { pthread_mutex_init(&m_native, nullptr); }
    ~Mutex() { pthread_mutex_destroy(&m_native); }
    Mutex(const Mutex&) = delete;
    Mutex& operator=(const Mutex&) = delete;

    void lock() { pthread_mutex_lock(&m_native); }
    void unlock() { pthread_mutex_unlock(&m_native); }
    pthread_mutex_t& native() { return m_native; }

private:
    pthread_mutex_t m_native;
};

} // namespace redwingseam::base
