#include "gateway/ConnectionPool.h"
#include "redwingseam/base/BootClock.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <functional>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct IgnoringOwner {
    using Upstream = gateway::UpstreamConnection<IgnoringOwner>;

    void onUpstreamConnected(Upstream&) { }
    void onUpstreamHeaders(Upstream&, const boost::beast::http::fields&, bool) { }
    void onUpstreamBody(Upstream&, std::string_view) { }
    void onUpstreamComplete(Upstream&) { }
    void onUpstreamFailure(Upstream&, gateway::ConnectionFailure) { }
};

// A listening socket whose queue holds `backlog` connections.
struct Listener {
    explicit Listener(int backlog)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(socket.descriptor(), backlog);
        socklen_t length = sizeof address;
        getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
    }

    fleet::UpstreamInstance instance() const
    {
        return { { "u" }, { "desk" }, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), { "dc-a" }, 1, 6, false };
    }

    sockaddr_in address {};
    base::FileDescriptor socket;
};

} // namespace

TEST_GROUP(ConnectionPool) {};

TEST(ConnectionPool, EventOfADiscardedConnectionIsNotTakenForOneOfItsSuccessor)
{
    using Upstream = IgnoringOwner::Upstream;
    gateway::EventLoop loop;
    gateway::ConnectionPool<IgnoringOwner> pool;
    Listener upstream(4);
    auto idle = std::make_unique<Upstream>(loop, upstream.instance());
    auto now = base::BootClock {}.now();
    CHECK_TRUE(idle->connect(now) == gateway::ConnectStart::Started);
    base::FileDescriptor accepted(accept(upstream.socket.descriptor(), nullptr, nullptr));
    loop.runOnce(milliseconds(500));
    CHECK_TRUE(idle->isReusable());
    idle->markIdle(now, seconds(10));
    pool.release(std::move(idle));
    // Without this, epoll would report the idle connection first.
    loop.runOnce({});

    // An upstream that is still connecting after its queue has been filled.
    Listener full(0);
    std::vector<base::FileDescriptor> waiting;
    for (int i = 0; i < 3; ++i)
        waiting.push_back(gateway::startConnect({ "127.0.0.1", ntohs(full.address.sin_port) }));

    std::unique_ptr<Upstream> successor;
    std::function<void()> replace = [&] {
        CHECK_TRUE(!pool.acquire(upstream.instance(), now));
        successor = std::make_unique<Upstream>(loop, full.instance());
        CHECK_TRUE(successor->connect(now) == gateway::ConnectStart::Started);
    };
    base::FileDescriptor trigger(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    gateway::EventHandler handler { &replace, [](void* function, uint32_t) { (*static_cast<std::function<void()>*>(function))(); } };
    loop.add(trigger.descriptor(), handler, EPOLLIN);
    // Both events are in one batch: the pool finds that the upstream has closed the connection before its event is handled.
    eventfd_write(trigger.descriptor(), 1);
    accepted = {};
    poll(nullptr, 0, 20);
    loop.runOnce(milliseconds(500));
    loop.remove(trigger.descriptor());
    CHECK_TRUE(successor != nullptr);
    CHECK_FALSE(successor->isConnected());
    pool.tick(now);
}
