#pragma once

#include "base/Condition.h"
#include "gateway/GatewayState.h"
#include "gateway/StopTimes.h"
#include "redwingseam/base/Mutex.h"

#include <mutex>

namespace redwingseam::gateway {

// Stops serving clients without cutting off a request that was read. First the node only stops to be ready and closes
// each connection after its current response. Once it is idle, it takes over the connections that still wait in the
// listen queue, closes the listener, and closes each connection that has no unread byte. Requests that are still running when
// the grace is nearly over are abandoned with an answer, and those that are read after that are refused. `Listener::close` must return only after all waiting connections
// have been handed over.
template<typename Listener>
class GracefulStop {
public:
    GracefulStop(GatewayState& state, Listener& listener, StopTimes times)
        : m_state(state)
        , m_listener(listener)
        , m_times(times)
    {
    }

    // Blocks until all connections are closed or the grace is nearly over. Returns whether all are closed.
    bool run()
    {
        m_startedAt = base::BootClock {}.now();
        m_state.drainStartedAt = m_startedAt;
        auto exitAt = m_times.grace - m_times.exitReserve;
        auto abandonAt = m_times.abandonAt();
        bool isIdle = waitUntil(abandonAt, [&] { return elapsed() > m_times.minimum && !m_state.activeSessions; });
        // Not after the listener has closed, which takes some time while this node lacks descriptors.
        m_state.isAbandoningRequests = !isIdle;
        m_listener.close();
        m_state.isClosingConnections = true;
        bool isComplete = waitUntil(abandonAt, [&] { return isClosed(); }) && isIdle;
        m_state.isAbandoningRequests = true;
        waitUntil(exitAt, [&] { return isClosed(); });
        return isComplete;
    }

private:
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(20);

    bool isClosed() const { return !m_state.openClients && !m_state.activeSessions; }
    base::Duration elapsed() const { return base::BootClock {}.now() - m_startedAt; }

    // Returns false if the predicate does not hold `latest` after the start of the stop.
    template<typename Predicate>
    bool waitUntil(base::Duration latest, Predicate&& predicate)
    {
        base::Mutex mutex;
        base::Condition condition;
        std::lock_guard guard(mutex);
        while (!predicate()) {
            if (elapsed() >= latest)
                return false;
            condition.waitFor(mutex, checkInterval);
        }
        return true;
    }

    GatewayState& m_state;
    Listener& m_listener;
    StopTimes m_times;
    base::Instant m_startedAt {};
};

} // namespace redwingseam::gateway
