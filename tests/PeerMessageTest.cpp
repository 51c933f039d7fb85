#include "PropertyCheck.h"
#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(PeerMessage) {};

TEST(PeerMessage, NewsOfALaterMomentThanItsMessageIsRead)
{
    auto now = base::Instant(std::chrono::seconds(5));
    auto later = now + milliseconds(3);
    peering::NewsMessage news { { { "n" }, { "dc" }, "127.0.0.1:1" }, { { { "e1" }, { "engines" }, fleet::SuspicionCause::ConnectionLost, later } }, { { { 5 }, later, later } } };
    auto read = peering::parseMessage(peering::formatMessage(news, now), now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<peering::NewsMessage>(*read).news.front().at == now);
}

TEST(PeerMessage, MessagesThatWouldExhaustANodeAreRefused)
{
    auto now = base::Instant(std::chrono::seconds(5));
    std::string announcesTooMany = "\x88\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b";
    CHECK_FALSE(peering::parseMessage(announcesTooMany, now).has_value());
    std::string nestsTooDeeply(2'000'000, '\x81');
    CHECK_FALSE(peering::parseMessage(nestsTooDeeply, now).has_value());
    CHECK_FALSE(peering::parseMessage({}, now).has_value());
}

TEST(PeerMessage, DamagedMessagesAreRefused)
{
    CHECK_PROPERTY("any damage is read or refused", [](uint16_t position, uint8_t byte) {
        auto now = base::Instant(std::chrono::seconds(5));
        peering::StateReply reply;
        reply.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
        reply.list = sync::UpstreamList { 4, PeerNode::fleetList() };
        reply.loads[{ "e1" }] = { 1, 2, 3 };
        reply.nodes = { reply.from };
        reply.harmful = { { { 5 }, now } };
        auto bytes = peering::formatMessage(reply, now);
        RC_ASSERT(peering::parseMessage(bytes, now).has_value());
        auto cut = bytes.substr(0, position % bytes.size());
        RC_ASSERT(!peering::parseMessage(cut, now).has_value());
        bytes[position % bytes.size()] = static_cast<char>(byte);
        (void)peering::parseMessage(bytes, now);
    });
}
