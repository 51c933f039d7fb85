#include "gateway/SocketCalls.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace redwingseam::gateway {

static constexpr int listenBacklog = 1024;
static constexpr size_t readBlockBytes = 8192;

static void disableDelay(int descriptor)
{
    int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static base::FileDescriptor newSocket()
{
    return base::FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

base::FileDescriptor startConnect(const http::SocketAddress& address)
{
    auto result = newSocket();
    if (!result.isOpen())
        return result;
    disableDelay(result.descriptor());
    auto native = address.native();
    if (connect(result.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native) && errno != EINPROGRESS)
        return {};
    return result;
}

void limitDelivery(int descriptor, base::Duration limit)
{
    // 0 stands for no limit.
    auto millis = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    auto value = static_cast<unsigned>(std::min<int64_t>(millis, std::numeric_limits<int>::max()));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

size_t undeliveredBytes(int descriptor)
{
    int bytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &bytes) ? 0 : static_cast<size_t>(bytes);
}

void discardOutputAtClose(int descriptor)
{
    linger value { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

int socketError(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length))
        return errno;
    return error;
}

base::FileDescriptor listenOn(const http::SocketAddress& address)
{
    auto result = newSocket();
    if (!result.isOpen())
        return result;
    int on = 1;
    setsockopt(result.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto native = address.native();
    if (bind(result.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native) || listen(result.descriptor(), listenBacklog))
        return {};
    return result;
}

base::FileDescriptor acceptFrom(int listener)
{
    base::FileDescriptor result(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (result.isOpen())
        disableDelay(result.descriptor());
    return result;
}

size_t unreadBytes(int descriptor)
{
    int bytes = 0;
    return ioctl(descriptor, FIONREAD, &bytes) || bytes < 0 ? 0 : static_cast<size_t>(bytes);
}

size_t receiveBufferBytes(int descriptor)
{
    static constexpr size_t usualBytes = 128 * 1024;
    int bytes = 0;
    socklen_t length = sizeof bytes;
    return getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, &length) || bytes < 0 ? usualBytes : static_cast<size_t>(bytes);
}

void limitReceiveBuffer(int descriptor, size_t bytes)
{
    // The system doubles the size of the buffer for its own overhead. It does not raise the largest window by itself any more.
    int halfBytes = static_cast<int>(bytes / 2);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &halfBytes, sizeof halfBytes);
    int windowBytes = static_cast<int>(bytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &windowBytes, sizeof windowBytes);
}

bool hasPendingInput(int descriptor)
{
    char byte = 0;
    auto count = recv(descriptor, &byte, sizeof byte, MSG_PEEK);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

ReadStatus readInto(int descriptor, boost::beast::flat_buffer& buffer, size_t maxBytes)
{
    while (buffer.size() < maxBytes) {
        auto space = buffer.prepare(readBlockBytes);
        auto count = recv(descriptor, space.data(), space.size(), 0);
        if (count > 0) {
            buffer.commit(static_cast<size_t>(count));
            continue;
        }
        if (!count)
            return ReadStatus::Closed;
        if (errno == EINTR)
            continue;
        return errno == EAGAIN || errno == EWOULDBLOCK ? ReadStatus::Open : ReadStatus::Reset;
    }
    return ReadStatus::Open;
}

} // namespace redwingseam::gateway
