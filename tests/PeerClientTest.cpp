#include "peer/PeerClient.h"

#include "base/Condition.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <filesystem>
#include <sys/socket.h>

using namespace redwingseam;

TEST_GROUP(PeerClient)
{
    base::FileDescriptor listener { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    std::vector<base::FileDescriptor> fillers;

    // Listens on all loopback addresses, and lets connections hang. Returns the port.
    uint16_t listenWithFullBacklog()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_ANY);
        socklen_t size = sizeof address;
        LONGS_EQUAL(0, bind(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), size));
        LONGS_EQUAL(0, ::listen(listener.descriptor(), 0));
        LONGS_EQUAL(0, getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int i = 0; i < 3; ++i) {
            fillers.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            (void)connect(fillers.back().descriptor(), reinterpret_cast<sockaddr*>(&address), size);
        }
        return ntohs(address.sin_port);
    }

    static size_t openDescriptors()
    {
        std::filesystem::directory_iterator entries("/proc/self/fd");
        return static_cast<size_t>(std::distance(begin(entries), end(entries)));
    }

    static void wait(base::Duration duration)
    {
        base::Mutex mutex;
        base::Condition condition;
        std::lock_guard guard(mutex);
        condition.waitFor(mutex, duration);
    }
};

// Guards against thousands of connections to machines that are gone.
TEST(PeerClient, ConnectionsThatHangAreBoundedInNumber)
{
    auto port = std::to_string(listenWithFullBacklog());
    peer::PeerClient client;
    auto before = openDescriptors();
    for (int i = 0; i < 900; ++i)
        client.send("127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":" + port, "message");
    wait(std::chrono::milliseconds(500));
    CHECK_TRUE(openDescriptors() > before + 100);
    CHECK_TRUE(openDescriptors() <= before + peer::PeerClient::maxPendingConnections);
    // They end soon, so that new peers can be reached.
    wait(std::chrono::seconds(5));
    CHECK_TRUE(openDescriptors() <= before + 10);
}
