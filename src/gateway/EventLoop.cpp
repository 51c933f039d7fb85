#include "gateway/EventLoop.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>

namespace redwingseam::gateway {

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    control(EPOLL_CTL_ADD, m_event.descriptor(), nullptr, EPOLLIN);
}

void EventLoop::control(int operation, int descriptor, Watch* watch, uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.ptr = watch;
    epoll_ctl(m_epoll.descriptor(), operation, descriptor, &event);
}

void EventLoop::add(int descriptor, Watch& watch, uint32_t events)
{
    control(EPOLL_CTL_ADD, descriptor, &watch, events);
}

void EventLoop::change(int descriptor, Watch& watch, uint32_t events)
{
    control(EPOLL_CTL_MOD, descriptor, &watch, events);
}

void EventLoop::remove(int descriptor)
{
    control(EPOLL_CTL_DEL, descriptor, nullptr, 0);
}

void EventLoop::runOnce(base::Duration longest)
{
    std::array<epoll_event, 128> events {};
    auto millis = std::chrono::ceil<std::chrono::milliseconds>(longest).count();
    int count = epoll_wait(m_epoll.descriptor(), events.data(), static_cast<int>(events.size()), static_cast<int>(millis));
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<size_t>(i)];
        auto* watch = static_cast<Watch*>(event.data.ptr);
        eventfd_t ignored = 0;
        if (watch)
            watch->notify(watch->owner, event.events);
        else
            eventfd_read(m_event.descriptor(), &ignored);
    }
}

void EventLoop::wake()
{
    eventfd_write(m_event.descriptor(), 1);
}

} // namespace redwingseam::gateway
