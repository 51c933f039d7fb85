#include "peer/Poller.h"

#include <array>
#include <sys/eventfd.h>

namespace redwingseam::peer {

Poller::Poller()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    add(m_wakeEvent.descriptor(), EPOLLIN);
}

void Poller::control(int operation, int descriptor, uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(m_epoll.descriptor(), operation, descriptor, &event);
}

std::vector<int> Poller::wait(std::optional<base::Duration> timeout)
{
    static constexpr int noTimeout = -1;
    auto timeoutMillis = timeout ? static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(*timeout).count()) : noTimeout;
    std::array<epoll_event, 64> events {};
    int count = epoll_wait(m_epoll.descriptor(), events.data(), static_cast<int>(events.size()), timeoutMillis);
    std::vector<int> ready;
    for (int i = 0; i < count; ++i) {
        auto descriptor = events[static_cast<size_t>(i)].data.fd;
        eventfd_t ignored = 0;
        if (descriptor == m_wakeEvent.descriptor())
            eventfd_read(descriptor, &ignored);
        else
            ready.push_back(descriptor);
    }
    return ready;
}

void Poller::wake()
{
    eventfd_write(m_wakeEvent.descriptor(), 1);
}

} // namespace redwingseam::peer
