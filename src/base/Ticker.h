#pragma once

#include "base/Condition.h"
#include "base/NamedThread.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <mutex>
#include <string>

namespace redwingseam::base {

// Calls a function repeatedly on its own thread until it is destroyed. Waits for `interval` before the first call and
// between the end of one call and the start of the next.
class Ticker {
public:
    template<typename Function>
    Ticker(const std::string& name, Duration interval, Function function)
    {
        m_thread = NamedThread(name, [this, interval, function] {
            while (waitFor(interval))
                function();
        });
    }

    ~Ticker()
    {
        {
            std::lock_guard guard(m_mutex);
            m_isStopping = true;
        }
        m_condition.broadcast();
        m_thread.join();
    }

    Ticker(const Ticker&) = delete;
    Ticker& operator=(const Ticker&) = delete;

private:
    // Returns false when the ticker is stopping.
    bool waitFor(Duration interval)
    {
        std::lock_guard guard(m_mutex);
        while (!m_isStopping) {
            if (!m_condition.waitFor(m_mutex, interval))
                break;
        }
        return !m_isStopping;
    }

    Mutex m_mutex;
    Condition m_condition;
    bool m_isStopping = false;
    NamedThread m_thread;
};

} // namespace redwingseam::base
