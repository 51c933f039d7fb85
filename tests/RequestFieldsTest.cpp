#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Header and trailer fields of requests that are legal but rare.
TEST_GROUP(RequestFields)
{
    GatewayFixture gateway;
    uint64_t version = 1;

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    void limitHeaders(uint32_t maxBytes)
    {
        auto manifest = fakes::FleetFixture::makeManifest();
        manifest.version = ++version;
        manifest.limits.maxHeaderBytes = maxBytes;
        manifest.limits.maxBodyBytes = uint64_t { 1 } << 52U;
        gateway.state.manifest.update(std::move(manifest), {}, base::BootClock {}.now());
    }
};

// The parser's header container throws for such a field, which used to end the process.
TEST(RequestFields, FieldThatIsTooLongForTheParserIsRejected)
{
    limitHeaders(300'000);
    for (size_t size : { 65'532, 65'533, 65'534, 70'000, 140'000 }) {
        for (const auto& field : { "X-Long: " + std::string(size, 'a'), std::string(size, 'n') + ": x" }) {
            auto response = gateway.exchange(GatewayFixture::get("/none/x", field + "\r\n"));
            bool isAnswered = response.starts_with("HTTP/1.1 431 ") || response.starts_with("HTTP/1.1 404 ");
            CHECK_TRUE_TEXT(isAnswered, response.substr(0, 100).c_str());
            CHECK_TRUE(size <= 65'533 || response.starts_with("HTTP/1.1 431 "));
        }
    }
}

// The field for the backup names the attempt besides an address, and its length used to end the process.
TEST(RequestFields, LongAttemptIdOfAResumedStreamIsRejected)
{
    limitHeaders(300'000);
    auto request = GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n");
    request.replace(request.find("Id: a1"), 6, "Id: " + std::string(65'525, 'a'));
    auto response = gateway.exchange(request);
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 431 "), response.substr(0, 100).c_str());
}

// The parser reserves memory for the stated length, which used to end the process.
TEST(RequestFields, LengthBeyondAllMemoryIsRejected)
{
    limitHeaders(300'000);
    auto response = gateway.exchange("POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\nContent-Length: 4503599627370495\r\n\r\nabc");
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 413 "), response.c_str());
}
