#pragma once

#include "base/FileDescriptor.h"
#include "gateway/EventHandler.h"
#include "redwingseam/base/Instant.h"

#include <deque>

namespace redwingseam::gateway {

// Dispatches epoll events on one thread. Only `wake` may be called from other threads.
class EventLoop {
public:
    EventLoop();

    void add(int descriptor, EventHandler&, uint32_t events);
    void change(int descriptor, EventHandler&, uint32_t events);
    void remove(int descriptor);
    // Calls the handler without events in the next turn of the loop, so that long work of one connection leaves the others
    // their turns.
    void defer(EventHandler&);
    // Takes back all calls of `defer` for this handler.
    void cancelDeferred(EventHandler&);
    // Waits up to `timeout` for events and handles one batch of them. Does not wait if calls were deferred.
    void runOnce(base::Duration timeout);
    void wake();

private:
    void control(int operation, int descriptor, EventHandler*, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_wakeEvent;
    std::deque<EventHandler*> m_deferred;
};

} // namespace redwingseam::gateway
