#include "codec/ObjectCodec.h"
#include "codec/PeerCodec.h"
#include "daemon/VmConfig.h"
#include "http/ClientKeyCodec.h"
#include "http/EngineEvents.h"
#include "http/EventLines.h"
#include "http/RequestParser.h"
#include "redwingseam/membership/FactFactory.h"
#include "report/ReportCodec.h"
#include "store/StoreReply.h"
#include "stream/ResumeTokenCodec.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

namespace {

// A valid text with some of its bytes changed, or noise: what the parsers must survive.
std::string damaged(std::string text, const std::vector<uint16_t>& words)
{
    for (auto word : words) {
        if (text.empty())
            break;
        auto at = word % text.size();
        if (word % 3 == 0)
            text.erase(at, 1 + word % 5);
        else
            text[at] = static_cast<char>(word >> 8);
    }
    return text;
}

peer::PeerMessage sampleMessage()
{
    route::UpstreamRecord record { { "up" }, route::UpstreamKind::Engine, { "m@1" }, { "dc" }, "http://u", 8, 3, route::UpstreamState::Leaving };
    settings::Branch branch { "/clients/a", { 7 }, false, {} };
    branch.values[0] = 1;
    peer::Gossip gossip { { "vm-1" }, { membership::makeFact(record), membership::makeFact(branch), membership::makeFact(membership::VmRecord { { "v" }, { "d" }, "1.2.3.4:5", membership::VmState::Gone }, 9), membership::makeFact(membership::VerdictRecord { { 5 }, true, false, false, { { { "up" }, 2 } } }), membership::makeFact(membership::HeavyClients { { "v" }, { { { "c" }, base::Rank::Urgent, 10, 100 } } }, 1, 2) } };
    return gossip;
}

} // namespace

TEST_GROUP(Codec) {};

TEST(Codec, PeerMessagesComeBackAsTheyWere)
{
    auto message = sampleMessage();
    auto parsed = codec::parseMessage(codec::formatMessage(message));
    CHECK_TRUE(parsed.has_value());
    CHECK_TRUE(std::get<peer::Gossip>(*parsed).facts == std::get<peer::Gossip>(message).facts);
}

TEST(Codec, ObjectsComeBackAsTheyWere)
{
    store::ObjectValue batch = claim::ClaimBatch { { { claim::RecordKind::Finished, { "k" }, 5, { 200, "body" } } } };
    store::ObjectValue lease = store::Lease { { "vm" }, 1, 2, 3, 4 };
    CHECK_TRUE(*codec::parseObject(codec::formatObject(batch)) == batch);
    CHECK_TRUE(*codec::parseObject(codec::formatObject(lease)) == lease);
}

TEST(Codec, DamagedInputIsRefusedWithoutHarm)
{
    auto message = codec::formatMessage(sampleMessage());
    auto object = codec::formatObject(claim::ClaimBatch { { { claim::RecordKind::Finished, { "k" }, 5, { 200, "body" } } } });
    std::string request = R"({"model":"draft","prompt":"p","max_tokens":5,"seed":1,"received":[1,2],"rank":"urgent"})";
    std::string load = R"({"running":1,"waiting":0,"leaving":false,"cache":[{"prefix":1,"stored":true}]})";
    std::string changes = R"({"revision":5,"objects":[{"key":"a","version":1,"deleted":true}]})";
    std::string config = R"({"name":"v","data_centre":"d","region":"r","platform":"http://x","secret":"0123456789abcdef","drain_timeout_s":3,"listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"}})";
    CHECK_PROPERTY("every parser of outside input", [&](const std::vector<uint16_t>& words) {
        codec::parseMessage(damaged(message, words));
        codec::parseObject(damaged(object, words));
        (void)http::parseCompletion(damaged(request, words));
        http::parseLoad({ "u" }, damaged(load, words));
        http::parseTokens(damaged(R"({"index":1,"tokens":[{"id":1,"text":"a"}]})", words));
        store::parseStoreChanges(damaged(changes, words));
        report::parseVmReport(damaged(report::formatVmReport({}, {}), words));
        (void)daemon::parseVmConfig(damaged(config, words));
        stream::ResumeTokenCodec codec("secret");
        (void)codec.decode({ "c" }, { 1 }, damaged(codec.encode({ "c" }, { 1 }, { 5, 6, 7, { "m@1" } }), words));
        http::EventLines lines;
        lines.feed(damaged("event: x\ndata: y\n\n", words), [](const http::ServerEvent&) {});
    });
}

TEST(Codec, BadRequestsNameThePointer)
{
    auto error = [](const char* json) { return http::parseCompletion(json).error(); };
    STRCMP_EQUAL("/model: expected a string", error(R"({"prompt":"p","max_tokens":1})").detail.c_str());
    CHECK_TRUE(error(R"({"model":"m","prompt":"p","max_tokens":0})").code == base::ResultCode::RequestTooLarge);
    CHECK_TRUE(error("[[[[[[[[[[[[[[[[[[[[").code == base::ResultCode::MalformedRequest);
    CHECK_TRUE(error(R"({"model":"m","prompt":"p","max_tokens":5,"rank":"soon"})").code == base::ResultCode::MalformedRequest);
}

TEST(Codec, EventIdsAreBoundToClientAndRequest)
{
    stream::ResumeTokenCodec codec("secret");
    stream::ResumePoint point { 5, 6, 7, { "m@1" } };
    auto text = codec.encode({ "alice" }, { 1 }, point);
    CHECK_TRUE(codec.decode({ "alice" }, { 1 }, text).value() == point);
    CHECK_FALSE(codec.decode({ "bob" }, { 1 }, text).has_value());
    CHECK_FALSE(codec.decode({ "alice" }, { 2 }, text).has_value());
    CHECK_FALSE(stream::ResumeTokenCodec("other").decode({ "alice" }, { 1 }, text).has_value());
}

TEST(Codec, ClientKeysCannotBeMadeUp)
{
    http::ClientKeyCodec keys("secret");
    CHECK_TRUE(keys.verify(keys.mint({ "alice" })).value() == base::ClientName { "alice" });
    CHECK_FALSE(keys.verify("alice.00000000000000000000000000000000").has_value());
    CHECK_FALSE(keys.verify("").has_value());
}

TEST(Codec, BadVmSettingsNameThePointer)
{
    auto error = daemon::parseVmConfig(R"({"name":"v","data_centre":"d","region":"r","platform":"http://x","secret":"0123456789abcdef","drain_timeout_s":3,"listen":{"callers":"nonsense","admin":"127.0.0.1:2","peers":"127.0.0.1:3"}})").error();
    CHECK_TRUE(error.code == base::ResultCode::SettingsInvalid);
    STRCMP_EQUAL("/listen/callers: expected an address such as 127.0.0.1:8080", error.detail.c_str());
}
