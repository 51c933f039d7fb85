#include "gateway/EventLoop.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>

namespace redwingseam::gateway {

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    control(EPOLL_CTL_ADD, m_wakeEvent.descriptor(), nullptr, EPOLLIN);
}

void EventLoop::control(int operation, int descriptor, EventHandler* handler, uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.ptr = handler;
    epoll_ctl(m_epoll.descriptor(), operation, descriptor, &event);
}

void EventLoop::add(int descriptor, EventHandler& handler, uint32_t events)
{
    control(EPOLL_CTL_ADD, descriptor, &handler, events);
}

void EventLoop::change(int descriptor, EventHandler& handler, uint32_t events)
{
    control(EPOLL_CTL_MOD, descriptor, &handler, events);
}

void EventLoop::remove(int descriptor)
{
    control(EPOLL_CTL_DEL, descriptor, nullptr, 0);
}

void EventLoop::defer(EventHandler& handler)
{
    m_deferred.push_back(&handler);
}

void EventLoop::cancelDeferred(EventHandler& handler)
{
    std::erase(m_deferred, &handler);
}

void EventLoop::runOnce(base::Duration timeout)
{
    std::array<epoll_event, 128> events {};
    // Calls that are deferred from here on belong to the next turn.
    auto deferredCount = m_deferred.size();
    auto millis = deferredCount ? 0 : std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    int count = epoll_wait(m_epoll.descriptor(), events.data(), static_cast<int>(events.size()), static_cast<int>(millis));
    for (int i = 0; i < count; ++i) {
        const auto& event = events[static_cast<size_t>(i)];
        auto* handler = static_cast<EventHandler*>(event.data.ptr);
        eventfd_t ignored = 0;
        if (handler)
            handler->notify(handler->owner, event.events);
        else
            eventfd_read(m_wakeEvent.descriptor(), &ignored);
    }
    for (; deferredCount && !m_deferred.empty(); --deferredCount) {
        auto* handler = m_deferred.front();
        m_deferred.pop_front();
        handler->notify(handler->owner, 0);
    }
}

void EventLoop::wake()
{
    eventfd_write(m_wakeEvent.descriptor(), 1);
}

} // namespace redwingseam::gateway
