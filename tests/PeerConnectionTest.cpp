#include "peer/InboundConnection.h"
#include "peer/OutboundConnection.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

using namespace redwingseam;

TEST_GROUP(PeerConnection)
{
    base::FileDescriptor listener { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };

    // Listens on a free loopback port, with small socket buffers for what it accepts.
    http::SocketAddress listen() const
    {
        int bufferBytes = 16 * 1024;
        setsockopt(listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        LONGS_EQUAL(0, bind(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), size));
        LONGS_EQUAL(0, ::listen(listener.descriptor(), 4));
        LONGS_EQUAL(0, getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size));
        return http::parseSocketAddress("127.0.0.1:" + std::to_string(ntohs(address.sin_port))).value();
    }
};

// Notices of failures and loads must not wait behind the state that the same peer is sent.
TEST(PeerConnection, SmallMessageOvertakesALargeOneThatIsBeingSent)
{
    peer::OutboundConnection sender(listen());
    peer::InboundConnection receiver(base::FileDescriptor(accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)));
    std::string large(3 * 1000 * 1000, 'x');
    std::string small(100, 'y');
    auto exchange = [&] {
        pollfd ready { sender.descriptor(), POLLIN | POLLOUT, 0 };
        poll(&ready, 1, 10);
        CHECK_TRUE(sender.processIo());
        CHECK_TRUE(receiver.processIo());
    };
    // Exchanges the settings of the connection, which allow a large window.
    for (int i = 0; i < 20; ++i)
        exchange();
    CHECK_TRUE(sender.send(large));
    CHECK_TRUE(sender.processIo());
    CHECK_TRUE(sender.send(small));
    std::vector<size_t> sizes;
    for (int i = 0; i < 20'000 && sizes.size() < 2; ++i) {
        exchange();
        for (const auto& message : receiver.takeMessages())
            sizes.push_back(message.size());
    }
    LONGS_EQUAL(2, sizes.size());
    LONGS_EQUAL(small.size(), sizes.front());
    LONGS_EQUAL(large.size(), sizes.back());
}

// A peer whose link was cut opens a new connection. What it had sent on the old one would be held for ever.
TEST(PeerConnection, ConnectionFromAPeerThatVanishedEnds)
{
    peer::OutboundConnection sender(listen());
    auto descriptor = accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    peer::InboundConnection receiver { base::FileDescriptor(descriptor) };
    auto option = [&](int level, int name) {
        int value = 0;
        socklen_t size = sizeof value;
        LONGS_EQUAL(0, getsockopt(descriptor, level, name, &value, &size));
        return value;
    };
    LONGS_EQUAL(1, option(SOL_SOCKET, SO_KEEPALIVE));
    CHECK_TRUE(option(IPPROTO_TCP, TCP_KEEPIDLE) + option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT) <= 30);
    CHECK_TRUE(option(IPPROTO_TCP, TCP_USER_TIMEOUT) > 0 && option(IPPROTO_TCP, TCP_USER_TIMEOUT) <= 30'000);
}
