#pragma once

#include "base/FileDescriptor.h"
#include "gateway/Watch.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::gateway {

// Waits for descriptors on one thread. Only `wake` may be called from others.
class EventLoop {
public:
    EventLoop();

    void add(int descriptor, Watch&, uint32_t events);
    void change(int descriptor, Watch&, uint32_t events);
    void remove(int descriptor);
    // Handles one batch of events; waits for them no longer than `longest`.
    void runOnce(base::Duration longest);
    void wake();

private:
    void control(int operation, int descriptor, Watch*, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_event;
};

} // namespace redwingseam::gateway
