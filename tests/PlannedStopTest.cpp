#include "fakes/GatewayFixture.h"
#include "fakes/SlowListener.h"
#include "gateway/GracefulStop.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;
using std::chrono::milliseconds;

// A stop under load: each request that the gateway has read must be answered.
TEST_GROUP(PlannedStop)
{
    GatewayFixture gateway;

    static gateway::StopTimes times() { return { milliseconds(3000), milliseconds(200), milliseconds(100) }; }

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    static std::string keptRequest()
    {
        auto request = GatewayFixture::post("/book/x", "b");
        return request.erase(request.find("Connection: close\r\n"), 19);
    }

    // The engine of the fixture takes this many prompts before others wait for room.
    static constexpr size_t roomForStreams = 2;
    std::vector<base::FileDescriptor> running;

    static std::string streamRequest()
    {
        auto request = GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n");
        return request.replace(request.find("Ms: 2500"), 8, "Ms: 25000");
    }

    // Sends streams, which the engine does not answer, until it has no room.
    void fillEngine()
    {
        for (size_t i = 0; i < roomForStreams; ++i) {
            running.push_back(gateway.connectClient());
            GatewayFixture::write(running.back(), streamRequest());
        }
        poll(nullptr, 0, 100);
    }

    // Returns the connection of a stream that waits for room at the engine.
    base::FileDescriptor queueStream()
    {
        fillEngine();
        auto queued = gateway.connectClient();
        GatewayFixture::write(queued, streamRequest());
        poll(nullptr, 0, 100);
        return queued;
    }

    // Sends requests on kept connections until the gateway closes them. Returns the number of complete responses.
    unsigned callUntilStopped(const std::atomic<bool>& isStopped)
    {
        unsigned answered = 0;
        while (!isStopped) {
            auto client = gateway.connectClient();
            std::string response;
            do {
                GatewayFixture::write(client, keptRequest());
                response = GatewayFixture::read(client, "\r\n\r\nok", 1000);
                answered += contains(response, "\r\n\r\nok");
            } while (contains(response, "\r\n\r\nok") && !contains(response, "Connection: close"));
            if (response == "<closed>" || response.empty())
                poll(nullptr, 0, 1);
        }
        return answered;
    }
};

TEST(PlannedStop, EveryRequestThatReachedAnUpstreamIsAnswered)
{
    ScriptedUpstream upstream(std::vector<fakes::ScriptedResponse>(100000, { GatewayFixture::ok("ok") }));
    gateway.addUpstream("d1", "desk", upstream);
    std::atomic<bool> isStopped { false };
    std::atomic<unsigned> answered { 0 };
    {
        std::vector<base::NamedThread> clients;
        for (int i = 0; i < 6; ++i)
            clients.emplace_back("client", [&] { answered += callUntilStopped(isStopped); });
        poll(nullptr, 0, 100);
        CHECK_TRUE(gateway::GracefulStop(gateway.state, gateway.acceptor(), times()).run());
        LONGS_EQUAL(0, gateway.state.openClients);
        isStopped = true;
    }
    CHECK_TRUE(answered > 0);
    LONGS_EQUAL(upstream.requests().size(), answered);
}

TEST(PlannedStop, RequestThatIsHalfReadWhenTheNodeIsIdleIsStillAnswered)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("ok") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto client = gateway.connectClient();
    auto request = GatewayFixture::post("/book/x", "body");
    GatewayFixture::write(client, request.substr(0, request.size() - 2));
    poll(nullptr, 0, 50);
    bool isClean = false;
    base::NamedThread stop("stop", [&] { isClean = gateway::GracefulStop(gateway.state, gateway.acceptor(), times()).run(); });
    poll(nullptr, 0, 500);
    GatewayFixture::write(client, request.substr(request.size() - 2));
    CHECK_TRUE(contains(GatewayFixture::read(client, "\r\n\r\nok"), "\r\n\r\nok"));
    stop.join();
    CHECK_TRUE(isClean);
}

TEST(PlannedStop, IdleConnectionsDoNotDelayTheStop)
{
    std::vector<base::FileDescriptor> idle;
    for (int i = 0; i < 20; ++i)
        idle.push_back(gateway.connectClient());
    poll(nullptr, 0, 50);
    auto began = base::BootClock {}.now();
    CHECK_TRUE(gateway::GracefulStop(gateway.state, gateway.acceptor(), times()).run());
    CHECK_TRUE(base::BootClock {}.now() - began < milliseconds(2000));
}

// A request that waits for room at an engine has not run, so it can be served elsewhere.
TEST(PlannedStop, QueuedStreamIsRefusedWhileThereIsTimeToServeItElsewhere)
{
    ScriptedUpstream engine({});
    gateway.addUpstream("e1", "engines", engine);
    auto queued = queueStream();
    base::NamedThread stop("stop", [&] { gateway::GracefulStop(gateway.state, gateway.acceptor(), times()).run(); });
    auto response = GatewayFixture::read(queued, "Draining", 2900);
    CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After: 0.030\r\n"), response.c_str());
    LONGS_EQUAL(roomForStreams, engine.requests().size());
    stop.join();
}

TEST(PlannedStop, RequestsThatAreStillRunningAtTheEndOfTheGraceAreAnswered)
{
    ScriptedUpstream engine({});
    ScriptedUpstream desk({});
    gateway.addUpstream("e1", "engines", engine);
    gateway.addUpstream("d1", "desk", desk);
    fillEngine();
    auto booking = gateway.connectClient();
    auto request = GatewayFixture::post("/book/x", "b");
    GatewayFixture::write(booking, request.replace(request.find("Ms: 2500"), 8, "Ms: 9000"));
    auto stopTimes = times();
    stopTimes.grace = milliseconds(900);
    CHECK_FALSE(gateway::GracefulStop(gateway.state, gateway.acceptor(), stopTimes).run());
    LONGS_EQUAL(0, gateway.state.activeSessions);
    // They may have run, so they are not refused.
    CHECK_TRUE(contains(GatewayFixture::read(booking, "OutcomeUnknown", 500), "HTTP/1.1 502 "));
    for (const auto& client : running)
        CHECK_TRUE(contains(GatewayFixture::read(client, "OutcomeUnknown", 500), "HTTP/1.1 502 "));
}

// The listener takes its time while this node lacks descriptors. The process used to end before the requests were answered.
TEST(PlannedStop, RequestsAreAnsweredWhileTheListenerClosesSlowly)
{
    ScriptedUpstream desk({});
    gateway.addUpstream("d1", "desk", desk);
    auto booking = gateway.connectClient();
    GatewayFixture::write(booking, GatewayFixture::post("/book/x", "b"));
    poll(nullptr, 0, 100);
    auto stopTimes = times();
    stopTimes.grace = milliseconds(900);
    fakes::SlowListener listener { 400 };
    CHECK_FALSE(gateway::GracefulStop(gateway.state, listener, stopTimes).run());
    LONGS_EQUAL(0, gateway.state.activeSessions);
    CHECK_TRUE(contains(GatewayFixture::read(booking, "OutcomeUnknown", 500), "HTTP/1.1 502 "));
}
