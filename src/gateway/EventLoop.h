#pragma once

#include "base/Socket.h"
#include "gateway/EventHandler.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::gateway {

// Waits for descriptors on one thread. Only `wake` may be called from others.
class EventLoop {
public:
    EventLoop();

    void add(int descriptor, EventHandler&, uint32_t events);
    void change(int descriptor, EventHandler&, uint32_t events);
    void remove(int descriptor);
    // Handles one batch of events; waits for them no longer than `longest`.
    void runOnce(base::Duration timeout);
    void wake();

private:
    void control(int operation, int descriptor, EventHandler*, uint32_t events);

    base::Socket m_epoll;
    base::Socket m_wakeEvent;
};

} // namespace redwingseam::gateway
