#include "peer/PeerServer.h"

#include "redwingseam/base/Instant.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <poll.h>
#include <sys/resource.h>

using namespace redwingseam;

namespace {

struct IgnoringMessageHandler {
    void onPeerMessage(const std::string&) { }
};

} // namespace

TEST_GROUP(PeerServer)
{
    IgnoringMessageHandler handler;
    peer::PeerServer<IgnoringMessageHandler> server { handler };

    // Returns a port of 127.0.0.1 that was free a moment ago.
    static uint16_t freePort()
    {
        base::FileDescriptor probe(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = http::parseSocketAddress("127.0.0.1:0").value().native();
        socklen_t size = sizeof address;
        LONGS_EQUAL(0, bind(probe.descriptor(), reinterpret_cast<sockaddr*>(&address), size));
        LONGS_EQUAL(0, getsockname(probe.descriptor(), reinterpret_cast<sockaddr*>(&address), &size));
        return ntohs(address.sin_port);
    }

    static base::Duration processorTime()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
    }
};

// Guards against a thread that spins while a connection waits for which there is no descriptor.
TEST(PeerServer, WaitsForDescriptorsWithoutSpinning)
{
    auto address = http::parseSocketAddress("127.0.0.1:" + std::to_string(freePort())).value();
    CHECK_TRUE(server.start(address));
    base::FileDescriptor client(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    rlimit previous {};
    getrlimit(RLIMIT_NOFILE, &previous);
    rlimit none { 1, previous.rlim_max };
    setrlimit(RLIMIT_NOFILE, &none);
    auto native = address.native();
    int error = connect(client.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof native);
    auto before = processorTime();
    poll(nullptr, 0, 400);
    auto used = processorTime() - before;
    setrlimit(RLIMIT_NOFILE, &previous);
    LONGS_EQUAL(0, error);
    CHECK_TRUE(used < std::chrono::milliseconds(100));
    // The server's settings arrive once it has accepted.
    pollfd ready { client.descriptor(), POLLIN, 0 };
    std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
    LONGS_EQUAL(preface.size(), write(client.descriptor(), preface.data(), preface.size()));
    LONGS_EQUAL(1, poll(&ready, 1, 2000));
    std::array<char, 16> bytes {};
    CHECK_TRUE(read(client.descriptor(), bytes.data(), bytes.size()) > 0);
}
