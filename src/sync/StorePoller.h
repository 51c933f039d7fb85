#pragma once

#include "base/Condition.h"
#include "base/NamedThread.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "redwingseam/base/Mutex.h"
#include "sync/NodeRole.h"
#include "sync/PollSchedule.h"

#include <glog/logging.h>
#include <mutex>
#include <random>

namespace redwingseam::sync {

// Calls `task.poll()` repeatedly on its own thread. `poll` returns false if a call to the store failed, and the result
// determines the pause before the next poll.
template<typename Task>
class StorePoller {
public:
    StorePoller(const char* name, Task& task, PollSchedule schedule, const NodeRole& role)
        : m_task(task)
        , m_schedule(schedule)
        , m_role(role)
        , m_random(std::random_device {}())
        , m_thread(name, [this] { run(); })
    {
    }
    ~StorePoller()
    {
        {
            std::lock_guard guard(m_mutex);
            m_isStopping = true;
        }
        m_changed.signal();
        m_thread.join();
    }
    StorePoller(const StorePoller&) = delete;
    StorePoller& operator=(const StorePoller&) = delete;

private:
    void run()
    {
        std::unique_lock guard(m_mutex);
        while (!m_isStopping) {
            guard.unlock();
            bool succeeded = m_task.poll();
            guard.lock();
            if (!m_isStopping)
                m_changed.waitFor(m_mutex, m_schedule.pauseAfter(succeeded, m_role.isResponsible(), m_random()));
        }
    }

    Task& m_task;
    PollSchedule m_schedule;
    const NodeRole& m_role;
    std::mt19937_64 m_random;
    base::Mutex m_mutex;
    base::Condition m_changed;
    bool m_isStopping = false;
    base::NamedThread m_thread;
};

} // namespace redwingseam::sync
