#pragma once

#include "base/Condition.h"
#include "http/UpstreamResponseHandler.h"
#include "redwingseam/base/Mutex.h"

#include <mutex>
#include <vector>

namespace redwingseam::fakes {

// Records how the attempts and probes of an UpstreamClient end. Thread-safe.
class RecordingUpstreamEvents {
public:
    void handle(const node::TokensReceived&) { }
    void handle(const node::AttemptEnded& ended)
    {
        std::lock_guard guard(m_mutex);
        m_ended.push_back(ended);
        m_changed.broadcast();
    }
    void handle(const node::ProbeFailed&)
    {
        std::lock_guard guard(m_mutex);
        ++m_failedProbes;
        m_changed.broadcast();
    }
    void handle(const route::LoadReport&) { }
    void handle(const route::CacheEvent&) { }

    std::vector<node::AttemptEnded> ends()
    {
        std::lock_guard guard(m_mutex);
        return m_ended;
    }
    // Waits until that many attempts have ended and returns them.
    std::vector<node::AttemptEnded> waitForEnds(size_t count)
    {
        std::lock_guard guard(m_mutex);
        for (int i = 0; i < maxWaits && m_ended.size() < count; ++i)
            m_changed.waitFor(m_mutex, waitInterval);
        return m_ended;
    }
    unsigned waitForFailedProbes(unsigned count)
    {
        std::lock_guard guard(m_mutex);
        for (int i = 0; i < maxWaits && m_failedProbes < count; ++i)
            m_changed.waitFor(m_mutex, waitInterval);
        return m_failedProbes;
    }

private:
    static constexpr int maxWaits = 250;
    static constexpr base::Duration waitInterval = std::chrono::milliseconds(20);

    base::Mutex m_mutex;
    base::Condition m_changed;
    std::vector<node::AttemptEnded> m_ended;
    unsigned m_failedProbes = 0;
};

} // namespace redwingseam::fakes
