#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;
using std::chrono::milliseconds;

// Limits for clients that change while their connections are open.
TEST_GROUP(ClientLimits)
{
    GatewayFixture gateway;
    ScriptedUpstream upstream { std::vector<fakes::ScriptedResponse>(4, { GatewayFixture::ok("ok") }) };
    uint64_t version = 1;

    void setup() override { gateway.addUpstream("d1", "desk", upstream); }

    void publish(const manifest::ClientLimits& limits)
    {
        auto manifest = fakes::FleetFixture::makeManifest();
        manifest.version = ++version;
        manifest.limits = limits;
        gateway.state.manifest.update(std::move(manifest), {}, base::BootClock {}.now());
    }

    static manifest::ClientLimits withIdleTimeout(base::Duration timeout)
    {
        manifest::ClientLimits limits;
        limits.idleTimeout = timeout;
        return limits;
    }

    // Sends a request on a kept connection and returns whether the complete response arrives.
    static bool isAnswered(const base::FileDescriptor& client, const std::string& body = "b", const std::string& extraHeaders = {})
    {
        auto request = GatewayFixture::post("/book/x", body, extraHeaders);
        GatewayFixture::write(client, request.erase(request.find("Connection: close\r\n"), 19));
        auto response = GatewayFixture::read(client, "\r\n\r\nok", 1500);
        return response.find("200 OK") != std::string::npos && response.find("\r\n\r\nok") != std::string::npos;
    }
};

TEST(ClientLimits, IdleConnectionIsKeptAfterTheIdleTimeoutWasRaised)
{
    publish(withIdleTimeout(milliseconds(200)));
    auto client = gateway.connectClient();
    CHECK_TRUE(isAnswered(client));
    publish(withIdleTimeout(milliseconds(5000)));
    poll(nullptr, 0, 900);
    CHECK_TRUE(isAnswered(client));
}

TEST(ClientLimits, ConnectionThatBecameIdleBeforeTheIdleTimeoutWasLoweredIsKept)
{
    publish(withIdleTimeout(milliseconds(5000)));
    auto client = gateway.connectClient();
    CHECK_TRUE(isAnswered(client));
    publish(withIdleTimeout(milliseconds(200)));
    poll(nullptr, 0, 900);
    CHECK_TRUE(isAnswered(client));
    STRCMP_EQUAL("<closed>", GatewayFixture::read(client).c_str());
}

// A client that does not know the idle timeout sends requests on connections that are about to be closed.
TEST(ClientLimits, ResponsesOnKeptConnectionsTellHowLongTheConnectionMayBeIdle)
{
    publish(withIdleTimeout(milliseconds(5000)));
    auto client = gateway.connectClient();
    auto request = GatewayFixture::post("/book/x", "b");
    GatewayFixture::write(client, request.erase(request.find("Connection: close\r\n"), 19));
    auto response = GatewayFixture::read(client, "\r\n\r\nok");
    CHECK_TRUE(response.find("Connection: keep-alive\r\nKeep-Alive: timeout=4\r\n") != std::string::npos);
    GatewayFixture::write(client, "GET /none/x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(GatewayFixture::read(client, "Keep-Alive: timeout=4\r\n", 1000).find("<closed>") == std::string::npos);
    CHECK_TRUE(gateway.exchange(GatewayFixture::get("/none/x")).find("Keep-Alive") == std::string::npos);
}

TEST(ClientLimits, RequestsOnOpenConnectionsMayBeAsLargeAsTheNewestLimitsAllow)
{
    manifest::ClientLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxHeaderBytes = 512;
    publish(limits);
    auto client = gateway.connectClient();
    CHECK_TRUE(isAnswered(client));
    publish({});
    CHECK_TRUE(isAnswered(client, std::string(5000, 'b')));
    CHECK_TRUE(isAnswered(client, "b", "X-Long: " + std::string(2000, 'x') + "\r\n"));
}

TEST(ClientLimits, RequestIsRejectedByTheNewestLimits)
{
    auto client = gateway.connectClient();
    CHECK_TRUE(isAnswered(client));
    manifest::ClientLimits limits;
    limits.maxBodyBytes = 100;
    publish(limits);
    auto request = GatewayFixture::post("/book/x", std::string(101, 'b'));
    GatewayFixture::write(client, request);
    CHECK_TRUE(GatewayFixture::read(client).find("HTTP/1.1 413 ") != std::string::npos);
}
