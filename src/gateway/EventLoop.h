#pragma once

#include "base/FileDescriptor.h"
#include "gateway/EventHandler.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::gateway {

// Dispatches epoll events on one thread. Only `wake` may be called from other threads.
class EventLoop {
public:
    EventLoop();

    void add(int descriptor, EventHandler&, uint32_t events);
    void change(int descriptor, EventHandler&, uint32_t events);
    void remove(int descriptor);
    // Waits up to `timeout` for events and handles one batch of them.
    void runOnce(base::Duration timeout);
    void wake();

private:
    void control(int operation, int descriptor, EventHandler*, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_wakeEvent;
};

} // namespace redwingseam::gateway
