#pragma once

#include "base/FileDescriptor.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>
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

    // Blocks until a descriptor is ready, `wake` is called or the time has passed. Returns the descriptors that are ready.
    std::vector<int> wait(std::optional<base::Duration> timeout = {});
    // Makes `wait` return. Thread-safe.
    void wake();

private:
    void control(int operation, int descriptor, uint32_t events);

    base::FileDescriptor m_epoll;
    base::FileDescriptor m_wakeEvent;
};

} // namespace redwingseam::peer
