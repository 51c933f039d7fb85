#pragma once

#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace redwingseam::base {

// Generator of pseudo-random 64-bit words, seeded by the operating system. Thread-safe.
class SystemRandom {
public:
    SystemRandom()
        : m_engine(std::random_device {}())
    {
    }

    uint64_t next()
    {
        std::lock_guard guard(m_mutex);
        return m_engine();
    }

private:
    Mutex m_mutex;
    std::mt19937_64 m_engine;
};

} // namespace redwingseam::base
