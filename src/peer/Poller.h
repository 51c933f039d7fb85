#pragma once

#include "base/FileDescriptor.h"

#include <cstdint>
#include <sys/epoll.h>
#include <vector>

namespace redwingseam::peer {

// Waits with epoll until a descriptor is ready or another thread calls `wake`.
class Poller {
public:
    Poller();

    // Add a descriptor, or change its events. `events` is an epoll mask such as EPOLLIN. Errors are ignored.
    void add(int descriptor, uint32_t events) { control(EPOLL_CTL_ADD, descriptor, events); }
    void change(int descriptor, uint32_t events) { control(EPOLL_CTL_MOD, descriptor, events); }

    // Blocks until a descriptor is ready or `wake` is called. Returns the descriptors that are ready.
    std::vector<int> wait();
    // Makes `wait` return. Thread-safe.
    void wake();

private:
    void control(int operation, int descriptor, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_wakeEvent;
};

} // namespace redwingseam::peer
