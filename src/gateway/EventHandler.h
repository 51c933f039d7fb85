#pragma once

#include <cstdint>

namespace redwingseam::gateway {

// Callback of an EventLoop for the events of a descriptor. Must live until the batch of events in which it
// was removed has been handled.
struct EventHandler {
    void* owner = nullptr;
    // `events` is a mask of epoll events.
    void (*notify)(void* owner, uint32_t events) = nullptr;
};

} // namespace redwingseam::gateway
