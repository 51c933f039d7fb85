#include "base/NamedThread.h"

#include "PropertyCheck.h"
#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(PeerMessage) {};

TEST(PeerMessage, EventLaterThanItsMessageIsParsed)
{
    auto now = base::Instant(std::chrono::seconds(5));
    auto later = now + milliseconds(3);
    replication::FailureNotice notice { { { "n" }, { "dc" }, "127.0.0.1:1" }, { { { "e1" }, { "engines" }, fleet::SuspicionCause::ConnectionLost, later } }, { { { 5 }, later, later } } };
    auto read = replication::parseMessage(replication::formatMessage(notice, now), now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<replication::FailureNotice>(*read).suspicions.front().detectedAt == now);
}

TEST(PeerMessage, MessagesThatWouldExhaustMemoryOrStackAreRejected)
{
    auto now = base::Instant(std::chrono::seconds(5));
    std::string hugeArrays = "\x88\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b";
    CHECK_FALSE(replication::parseMessage(hugeArrays, now).has_value());
    std::string deeplyNestedArrays(2'000'000, '\x81');
    CHECK_FALSE(replication::parseMessage(deeplyNestedArrays, now).has_value());
    CHECK_FALSE(replication::parseMessage({}, now).has_value());
}

TEST(PeerMessage, StringsOfPartsInPartsAreRejected)
{
    // Guards against a crash: the parser recursed into strings of indefinite length that begin within one another.
    std::optional<replication::Message> message;
    for (char head : { '\x7f', '\x5f' })
        base::NamedThread("parser", [&] { message = replication::parseMessage(std::string(4 * 1024 * 1024, head), base::Instant(std::chrono::hours(1))); }).join();
    CHECK_FALSE(message.has_value());
}

TEST(PeerMessage, CorruptMessagesAreParsedOrRejected)
{
    CHECK_PROPERTY("a corrupt message is parsed or rejected, and a truncated one is rejected", [](uint16_t position, uint8_t byte) {
        auto now = base::Instant(std::chrono::seconds(5));
        replication::StateReply reply;
        reply.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
        reply.list = sync::UpstreamList { { 1, 4 }, PeerNode::fleetList() };
        reply.loads[{ "e1" }] = { 1, 2, 3 };
        reply.nodes = { reply.from };
        reply.quarantined = { { { 5 }, now } };
        auto bytes = replication::formatMessage(reply, now);
        RC_ASSERT(replication::parseMessage(bytes, now).has_value());
        auto cut = bytes.substr(0, position % bytes.size());
        RC_ASSERT(!replication::parseMessage(cut, now).has_value());
        bytes[position % bytes.size()] = static_cast<char>(byte);
        (void)replication::parseMessage(bytes, now);
    });
}

TEST(PeerMessage, PartReportsSurviveTheCodec)
{
    auto now = base::Instant(std::chrono::seconds(5));
    replication::FailureNotice notice;
    notice.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
    notice.parts.crashes = { { UINT64_MAX, { 4 }, { "e1" }, { { UINT64_MAX - 1 }, { 2 } }, now - milliseconds(30), now } };
    notice.parts.clearances = { { { 2 }, now - milliseconds(1) } };
    notice.parts.trials = { { { 3 }, now - milliseconds(2) } };
    auto bytes = replication::formatMessage(notice, now);
    auto read = replication::parseMessage(bytes, now);
    CHECK_TRUE(read.has_value());
    const auto& parts = std::get<replication::FailureNotice>(*read).parts;
    CHECK_TRUE(parts.crashes.front().id == UINT64_MAX && parts.crashes.front().parts == notice.parts.crashes.front().parts);
    CHECK_TRUE(parts.crashes.front().sentAt == now - milliseconds(30) && parts.crashes.front().upstream.text == "e1");
    CHECK_TRUE(parts.clearances.front().progressAt == now - milliseconds(1));
    CHECK_TRUE(parts.trials.front().startedAt == now - milliseconds(2));
    // A node of an older release sends a notice without the parts and the fields after them.
    auto older = nlohmann::json::from_cbor(bytes);
    static constexpr size_t fieldsBeforeParts = 4;
    while (older.size() > fieldsBeforeParts)
        older.erase(older.size() - 1);
    std::string olderBytes;
    nlohmann::json::to_cbor(older, olderBytes);
    read = replication::parseMessage(olderBytes, now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<replication::FailureNotice>(*read).parts.isEmpty());
}

TEST(PeerMessage, ReportsOfQuarantinedRequestsSurviveTheCodec)
{
    auto now = base::Instant(std::chrono::seconds(500));
    replication::FailureNotice notice;
    notice.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
    notice.clearances = { { { UINT64_MAX }, now - milliseconds(1) } };
    notice.trials = { { { 3 }, now - milliseconds(2) } };
    auto bytes = replication::formatMessage(notice, now);
    auto read = replication::parseMessage(bytes, now);
    CHECK_TRUE(read.has_value());
    const auto& readNotice = std::get<replication::FailureNotice>(*read);
    CHECK_TRUE(readNotice.clearances.front().fingerprint.value == UINT64_MAX && readNotice.clearances.front().progressAt == now - milliseconds(1));
    CHECK_TRUE(readNotice.trials.front().fingerprint.value == 3 && readNotice.trials.front().startedAt == now - milliseconds(2));
    // A node of an older release sends a notice that ends with the parts.
    auto older = nlohmann::json::from_cbor(bytes);
    static constexpr size_t fieldsUpToParts = 5;
    while (older.size() > fieldsUpToParts)
        older.erase(older.size() - 1);
    std::string olderBytes;
    nlohmann::json::to_cbor(older, olderBytes);
    read = replication::parseMessage(olderBytes, now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<replication::FailureNotice>(*read).isEmpty());
    replication::StateReply reply;
    reply.from = notice.from;
    reply.quarantined = { { { 5 }, now - milliseconds(9), 2, now - milliseconds(4) }, { { 6 }, now } };
    reply.clearances = notice.clearances;
    read = replication::parseMessage(replication::formatMessage(reply, now), now);
    CHECK_TRUE(read.has_value());
    const auto& readReply = std::get<replication::StateReply>(*read);
    CHECK_TRUE(readReply.quarantined.front().trials == 2 && readReply.quarantined.front().lastTrialAt == now - milliseconds(4));
    CHECK_TRUE(readReply.quarantined.back().trials == 0 && !readReply.quarantined.back().lastTrialAt);
    CHECK_TRUE(readReply.clearances.front().progressAt == now - milliseconds(1));
}

TEST(PeerMessage, QuestionsAboutStreamsSurviveTheCodec)
{
    base::Instant now(std::chrono::seconds(100));
    sync::NodeRecord from { { "n" }, { "dc" }, "127.0.0.1:1" };
    auto query = replication::parseMessage(replication::formatMessage(replication::OriginQuery { from, { { "a1" }, { "a2" } } }, now), now);
    CHECK_TRUE(query.has_value());
    CHECK_TRUE(std::get<replication::OriginQuery>(*query).from == from);
    LONGS_EQUAL(2, std::get<replication::OriginQuery>(*query).attempts.size());
    std::vector<origin::StreamRecord> streams { { { "a1" }, { { "s" }, { "v1" } } } };
    auto reply = replication::parseMessage(replication::formatMessage(replication::OriginReply { from, streams }, now), now);
    CHECK_TRUE(reply.has_value());
    CHECK_TRUE(std::get<replication::OriginReply>(*reply).streams == streams);
    LONGS_EQUAL(0, std::get<replication::OriginReply>(*reply).listCheck);
}

TEST(PeerMessage, CheckOfAListSurvivesTheCodec)
{
    base::Instant now(std::chrono::seconds(100));
    sync::NodeRecord from { { "n" }, { "dc" }, "127.0.0.1:1" };
    auto queryBytes = replication::formatMessage(replication::OriginQuery { from, {}, 7 }, now);
    auto query = replication::parseMessage(queryBytes, now);
    CHECK_TRUE(query.has_value());
    LONGS_EQUAL(7, std::get<replication::OriginQuery>(*query).listCheck);
    auto replyBytes = replication::formatMessage(replication::OriginReply { from, {}, 7, { 2, 30 }, true }, now);
    auto reply = replication::parseMessage(replyBytes, now);
    CHECK_TRUE(reply.has_value());
    LONGS_EQUAL(7, std::get<replication::OriginReply>(*reply).listCheck);
    CHECK_TRUE((std::get<replication::OriginReply>(*reply).listVersion == sync::StoreVersion { 2, 30 }));
    CHECK_TRUE(std::get<replication::OriginReply>(*reply).isReader);
    // Messages of the release before end with the attempts and the streams.
    static constexpr size_t fieldsBefore = 3;
    for (const auto& bytes : { queryBytes, replyBytes }) {
        auto older = nlohmann::json::from_cbor(bytes);
        while (older.size() > fieldsBefore)
            older.erase(older.size() - 1);
        std::string olderBytes;
        nlohmann::json::to_cbor(older, olderBytes);
        auto read = replication::parseMessage(olderBytes, now);
        CHECK_TRUE(read.has_value());
        if (const auto* readReply = std::get_if<replication::OriginReply>(&*read))
            LONGS_EQUAL(0, readReply->listCheck);
    }
}

TEST(PeerMessage, WordThatAStreamIsNotKnownSurvivesTheCodecAndMayBeMissing)
{
    base::Instant now(std::chrono::seconds(100));
    sync::NodeRecord from { { "n" }, { "dc" }, "127.0.0.1:1" };
    auto bytes = replication::formatMessage(replication::OriginReply { from, {}, 0, {}, false, { { "a1" }, { "a2" } }, { 2, 30 } }, now);
    auto read = replication::parseMessage(bytes, now);
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(2, std::get<replication::OriginReply>(*read).unknown.size());
    CHECK_TRUE((std::get<replication::OriginReply>(*read).keptSince == sync::StoreVersion { 2, 30 }));
    // Messages of the release before end with the check of the list.
    static constexpr size_t fieldsBefore = 7;
    auto older = nlohmann::json::from_cbor(bytes);
    while (older.size() > fieldsBefore)
        older.erase(older.size() - 1);
    std::string olderBytes;
    nlohmann::json::to_cbor(older, olderBytes);
    read = replication::parseMessage(olderBytes, now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<replication::OriginReply>(*read).unknown.empty());
}

// A node of the release before lists upstreams without their software version.
TEST(PeerMessage, SoftwareVersionOfAnUpstreamSurvivesTheCodecAndMayBeMissing)
{
    base::Instant now(std::chrono::seconds(100));
    replication::StateReply reply;
    reply.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
    reply.list.emplace();
    reply.list->upstreams.push_back({ { "e1" }, { "s" }, "127.0.0.1:2", { "dc" }, 1, 6, false, { "v1" } });
    auto bytes = replication::formatMessage(reply, now);
    STRCMP_EQUAL("v1", std::get<replication::StateReply>(*replication::parseMessage(bytes, now)).list->upstreams.front().version.text.c_str());
    static constexpr size_t listField = 9;
    auto older = nlohmann::json::from_cbor(bytes);
    auto& upstream = older[listField][0];
    upstream.erase(upstream.size() - 1);
    std::string olderBytes;
    nlohmann::json::to_cbor(older, olderBytes);
    CHECK_TRUE(std::get<replication::StateReply>(*replication::parseMessage(olderBytes, now)).list->upstreams.front().version.empty());
}
