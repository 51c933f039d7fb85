#include "gateway/Acceptor.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <atomic>
#include <ctime>
#include <memory>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

using namespace redwingseam;

namespace {

struct CountingHandler {
    std::atomic<unsigned> connections { 0 };

    void addConnection(base::FileDescriptor) { ++connections; }
};

// Forbids the process new file descriptors while it lives.
struct NoFreeDescriptors {
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &previous);
        rlimit none { 1, previous.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &previous); }

    rlimit previous {};
};

double processorSeconds()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

} // namespace

TEST_GROUP(Acceptor)
{
    CountingHandler handler;
    sockaddr_in address {};
    std::unique_ptr<gateway::Acceptor<CountingHandler>> acceptor;
    base::FileDescriptor client { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };

    void setup() override
    {
        auto listener = gateway::listenOn({ "127.0.0.1", 0 });
        socklen_t length = sizeof address;
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        acceptor = std::make_unique<gateway::Acceptor<CountingHandler>>(std::move(listener), handler);
    }
    void teardown() override { acceptor.reset(); }

    int connectClient() const { return connect(client.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address); }
};

TEST(Acceptor, LackOfDescriptorsNeitherSpinsNorLosesConnections)
{
    {
        NoFreeDescriptors scarcity;
        auto before = processorSeconds();
        LONGS_EQUAL(0, connectClient());
        poll(nullptr, 0, 500);
        // A thread that spins uses all of this time unless the machine is overloaded.
        CHECK_TRUE(processorSeconds() - before < 0.03);
        LONGS_EQUAL(0, handler.connections);
    }
    for (int i = 0; i < 300 && !handler.connections; ++i)
        poll(nullptr, 0, 10);
    LONGS_EQUAL(1, handler.connections);
}

TEST(Acceptor, ConnectionsThatWaitForDescriptorsAreNotResetByAStop)
{
    auto scarcity = std::make_unique<NoFreeDescriptors>();
    LONGS_EQUAL(0, connectClient());
    base::NamedThread relief("relief", [&] {
        poll(nullptr, 0, 120);
        scarcity.reset();
    });
    acceptor->close();
    relief.join();
    LONGS_EQUAL(1, handler.connections);
}
