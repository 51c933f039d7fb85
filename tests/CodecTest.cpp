#include "base/NamedThread.h"
#include "codec/ObjectCodec.h"
#include "codec/PeerCodec.h"
#include "daemon/VmConfig.h"
#include "http/ClientKeyCodec.h"
#include "http/EngineResponseParser.h"
#include "http/EventStreamParser.h"
#include "http/RequestParser.h"
#include "redwingseam/membership/GossipEntryFactory.h"
#include "report/ReportCodec.h"
#include "store/StoreResponseParser.h"
#include "stream/ResumeTokenCodec.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

namespace {

// Returns the text with some bytes changed or removed at positions that `words` selects.
std::string corrupted(std::string text, const std::vector<uint16_t>& words)
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
    peer::Gossip gossip { { "vm-1" }, { membership::makeGossipEntry(record), membership::makeGossipEntry(branch), membership::makeGossipEntry(membership::VmRecord { { "v" }, { "d" }, "1.2.3.4:5", membership::VmState::Gone }, 9), membership::makeGossipEntry(membership::CrashReport { { 5 }, true, false, false, { { { "up" }, 2 } } }), membership::makeGossipEntry(membership::HeavyClients { { "v" }, { { { "c" }, base::Rank::Urgent, 10, 100 } } }, 1, 2) } };
    return gossip;
}

} // namespace

TEST_GROUP(Codec) {};

TEST(Codec, PeerMessagesRoundTrip)
{
    auto message = sampleMessage();
    auto parsed = codec::parseMessage(codec::formatMessage(message));
    CHECK_TRUE(parsed.has_value());
    CHECK_TRUE(std::get<peer::Gossip>(*parsed).entries == std::get<peer::Gossip>(message).entries);
}

TEST(Codec, ObjectsRoundTrip)
{
    store::ObjectValue batch = claim::ClaimBatch { { { claim::RecordKind::Finished, { "k" }, 5, { 200, "body" } } } };
    store::ObjectValue lease = store::Lease { { "vm" }, 1, 2, 3, 4 };
    CHECK_TRUE(*codec::parseObject(codec::formatObject(batch)) == batch);
    CHECK_TRUE(*codec::parseObject(codec::formatObject(lease)) == lease);
}

// Malformed input from other machines must not crash a parser or make it throw.
TEST(Codec, ParsersSurviveCorruptedInput)
{
    auto message = codec::formatMessage(sampleMessage());
    auto object = codec::formatObject(claim::ClaimBatch { { { claim::RecordKind::Finished, { "k" }, 5, { 200, "body" } } } });
    std::string request = R"({"model":"draft","prompt":"p","max_tokens":5,"seed":1,"received":[1,2],"rank":"urgent"})";
    std::string load = R"({"running":1,"waiting":0,"leaving":false,"cache":[{"prefix":1,"stored":true}]})";
    std::string changes = R"({"revision":5,"objects":[{"key":"a","version":1,"deleted":true}]})";
    std::string config = R"({"name":"v","data_centre":"d","region":"r","platform":"http://x","secret":"0123456789abcdef","drain_timeout_s":3,"listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"}})";
    CHECK_PROPERTY("parsers of external input neither crash nor throw", [&](const std::vector<uint16_t>& words) {
        codec::parseMessage(corrupted(message, words));
        codec::parseObject(corrupted(object, words));
        (void)http::parseCompletion(corrupted(request, words));
        http::parseLoad({ "u" }, corrupted(load, words));
        http::parseTokens(corrupted(R"({"index":1,"tokens":[{"id":1,"text":"a"}]})", words));
        store::parseStoreChanges(corrupted(changes, words));
        report::parseVmReport(corrupted(report::formatVmReport({}, {}), words));
        (void)daemon::parseVmConfig(corrupted(config, words));
        stream::ResumeTokenCodec codec("secret");
        (void)codec.decode({ "c" }, { 1 }, corrupted(codec.encode({ "c" }, { 1 }, { 5, 6, 7, { "m@1" } }), words));
        http::EventStreamParser lines;
        lines.feed(corrupted("event: x\ndata: y\n\n", words), [](const http::ServerSentEvent&) {});
    });
}

TEST(Codec, DeeplyNestedStoreObjectHidesNoOther)
{
    // Guards against a crash: the value was written out again by recursion. Threads have small stacks.
    static constexpr size_t depth = 1000000;
    auto sound = R"({"key":"k","version":3,"value":)" + codec::formatObject(store::Lease { { "vm" }, 1, 2, 3, 4 }) + "}";
    auto odd = R"({"key":"odd","version":3,"value":{"type":)" + std::string(depth, '[') + std::string(depth, ']') + "}}";
    std::optional<store::StoreChanges> changes;
    base::NamedThread("parser", [&] { changes = store::parseStoreChanges(R"({"revision":4,"objects":[)" + sound + "," + odd + R"(,{"key":"n","version":1e400},7,)" + sound + "]}"); }).join();
    CHECK_TRUE(changes.has_value());
    LONGS_EQUAL(2, changes->changes.size());
    std::optional<store::StoredObject> object;
    base::NamedThread("parser", [&] { object = store::parseStoredObject(odd); }).join();
    CHECK_FALSE(object && object->value);
}

TEST(Codec, RequestErrorsNameTheJsonPointer)
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

TEST(Codec, ClientKeysCannotBeForged)
{
    http::ClientKeyCodec keys("secret");
    CHECK_TRUE(keys.verify(keys.mint({ "alice" })).value() == base::ClientName { "alice" });
    CHECK_FALSE(keys.verify("alice.00000000000000000000000000000000").has_value());
    CHECK_FALSE(keys.verify("").has_value());
}

TEST(Codec, VmConfigErrorsNameTheJsonPointer)
{
    auto error = daemon::parseVmConfig(R"({"name":"v","data_centre":"d","region":"r","platform":"http://x","secret":"0123456789abcdef","drain_timeout_s":3,"listen":{"callers":"nonsense","admin":"127.0.0.1:2","peers":"127.0.0.1:3"}})").error();
    CHECK_TRUE(error.code == base::ResultCode::SettingsInvalid);
    STRCMP_EQUAL("/listen/callers: expected an IPv4 address and port such as 127.0.0.1:8080, found \"nonsense\"", error.detail.c_str());
}

TEST(Codec, VmConfigStatesTheMemoryOfTheMachine)
{
    auto parse = [](const std::string& memory) {
        return daemon::parseVmConfig(R"({"name":"v","data_centre":"d","region":"r","platform":"http://x","secret":"0123456789abcdef","drain_timeout_s":3)" + memory + R"(,"listen":{"callers":"127.0.0.1:1","admin":"127.0.0.1:2","peers":"127.0.0.1:3"}})");
    };
    LONGS_EQUAL(0, parse("").value().memoryBytes);
    LONGS_EQUAL(64 * 1024 * 1024, parse(R"(,"memory_mb":64)").value().memoryBytes);
    STRCMP_EQUAL("/memory_mb: expected 1 to 1048576, found 0", parse(R"(,"memory_mb":0)").error().detail.c_str());
    CHECK_FALSE(parse(R"(,"memory_mb":"64")").has_value());
}
