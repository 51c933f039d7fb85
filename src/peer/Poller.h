#pragma once

#include "base/FileDescriptor.h"

#include <cstdint>
#include <sys/epoll.h>
#include <vector>

namespace redwingseam::peer {

// Waits for sockets to become ready, or to be woken by another thread.
class Poller {
public:
    Poller();

    void add(int descriptor, uint32_t events) { control(EPOLL_CTL_ADD, descriptor, events); }
    void change(int descriptor, uint32_t events) { control(EPOLL_CTL_MOD, descriptor, events); }

    // Descriptors that are ready. Returns when there is one or `wake` was called; thread-safe `wake`.
    std::vector<int> wait();
    void wake();

private:
    void control(int operation, int descriptor, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_event;
};

} // namespace redwingseam::peer
