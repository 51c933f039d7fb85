// What the system receives for a client before it is read stays small, and is counted where it is not.

#include "gateway/ReceiveWindow.h"
#include "gateway/SocketCalls.h"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

using namespace redwingseam;
using gateway::ReceiveWindow;

TEST_GROUP(ReceiveWindow)
{
    base::FileDescriptor sender;
    base::FileDescriptor receiver;

    void setup() override
    {
        auto listener = gateway::listenOn(http::parseSocketAddress("127.0.0.1:0").value());
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
        sender = gateway::startConnect(http::parseSocketAddress("127.0.0.1:" + std::to_string(ntohs(bound.sin_port))).value());
        pollfd pending { listener.descriptor(), POLLIN, 0 };
        poll(&pending, 1, 1000);
        receiver = gateway::acceptFrom(listener.descriptor());
        CHECK_TRUE(receiver.isOpen());
    }

    // Sends as much as the system takes, and returns how much of it waits at the receiver.
    size_t fill()
    {
        std::vector<char> block(64 * 1024);
        pollfd space { sender.descriptor(), POLLOUT, 0 };
        while (poll(&space, 1, 50) > 0) {
            if (send(sender.descriptor(), block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
                break;
        }
        return gateway::unreadBytes(receiver.descriptor());
    }

    void readAll(size_t bytes)
    {
        std::vector<char> block(8192);
        for (size_t done = 0; done < bytes;) {
            pollfd input { receiver.descriptor(), POLLIN, 0 };
            auto count = poll(&input, 1, 1000) > 0 ? recv(receiver.descriptor(), block.data(), block.size(), 0) : -1;
            if (count <= 0)
                FAIL("the input ended");
            done += static_cast<size_t>(count);
        }
    }
};

TEST(ReceiveWindow, StaysSmallForAClientThatWasReadFast)
{
    gateway::BufferBudget budget(4 * 1024 * 1024);
    ReceiveWindow window(budget, receiver.descriptor());
    for (int i = 0; i < 12; ++i)
        readAll(fill());
    CHECK_TRUE(fill() <= ReceiveWindow::usualBytes);
    LONGS_EQUAL(0, budget.usedBytes());
}

TEST(ReceiveWindow, IsWideAndCountedForALargeBody)
{
    gateway::BufferBudget budget(4 * 1024 * 1024);
    ReceiveWindow window(budget, receiver.descriptor());
    window.widenFor(ReceiveWindow::wideBytes - 1);
    LONGS_EQUAL(ReceiveWindow::usualBytes, gateway::receiveBufferBytes(receiver.descriptor()));
    window.widenFor(ReceiveWindow::wideBytes);
    LONGS_EQUAL(ReceiveWindow::wideBytes, gateway::receiveBufferBytes(receiver.descriptor()));
    LONGS_EQUAL(ReceiveWindow::wideBytes, budget.usedBytes());
    for (int i = 0; i < 12; ++i)
        readAll(fill());
    auto unread = fill();
    CHECK_TRUE(unread > ReceiveWindow::usualBytes && unread <= ReceiveWindow::wideBytes);
    readAll(unread);
    window.restore();
    LONGS_EQUAL(ReceiveWindow::usualBytes, gateway::receiveBufferBytes(receiver.descriptor()));
    LONGS_EQUAL(0, budget.usedBytes());
}

TEST(ReceiveWindow, StaysSmallWhileMemoryIsShort)
{
    gateway::BufferBudget budget(4 * 1024 * 1024);
    budget.reserveAlways(2 * 1024 * 1024, gateway::BufferUse::Request);
    ReceiveWindow window(budget, receiver.descriptor());
    window.widenFor(ReceiveWindow::wideBytes);
    LONGS_EQUAL(ReceiveWindow::usualBytes, gateway::receiveBufferBytes(receiver.descriptor()));
    LONGS_EQUAL(0, window.reservedBytes());
}
