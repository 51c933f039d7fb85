#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// Whom an EventLoop tells of a descriptor's events. Must live until the batch of events in which it was
// removed has been handled.
struct EventHandler {
    void* owner = nullptr;
    // `events` are those of epoll.
    void (*notify)(void* owner, uint32_t events) = nullptr;
};

} // namespace redwingseam::gateway
