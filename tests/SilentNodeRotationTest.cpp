#include "replication/SilentNodeRotation.h"

#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using replication::SilentNodeRotation;
using std::chrono::milliseconds;

namespace {

std::vector<replication::SilentNode> makeSilentNodes(size_t count)
{
    std::vector<replication::SilentNode> nodes;
    for (size_t i = 0; i < count; ++i)
        nodes.push_back({ { { "n" + std::to_string(10'000 + i) }, { "dc-a" }, "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1" }, {} });
    return nodes;
}

} // namespace

TEST_GROUP(SilentNodeRotation)
{
    SilentNodeRotation rotation;
};

TEST(SilentNodeRotation, FewNodesAreAllChosenInEachRound)
{
    auto silent = makeSilentNodes(SilentNodeRotation::maxQueriesPerRound);
    for (int i = 0; i < 3; ++i)
        LONGS_EQUAL(silent.size(), rotation.next(silent).size());
}

TEST(SilentNodeRotation, OfManyNodesEachIsChosenInTurn)
{
    auto silent = makeSilentNodes(1000);
    std::set<std::string> chosen;
    for (size_t i = 0; i < 1000 / SilentNodeRotation::maxQueriesPerRound + 1; ++i) {
        auto round = rotation.next(silent);
        CHECK_TRUE(round.size() <= SilentNodeRotation::maxQueriesPerRound);
        for (const auto& node : round)
            chosen.insert(node.name.text);
    }
    LONGS_EQUAL(1000, chosen.size());
}

// Guards against a hub that waits behind the entries of removed machines when its link is mended.
TEST(SilentNodeRotation, NodesThatWereHeardLastAreChosenInEachRound)
{
    auto silent = makeSilentNodes(1000);
    for (size_t i = 0; i < 10; ++i)
        silent[500 + i].lastMessageAt = base::Instant(std::chrono::seconds(i + 1));
    for (int i = 0; i < 5; ++i) {
        auto round = rotation.next(silent);
        for (size_t j = 0; j < 10; ++j)
            CHECK_TRUE(std::find(round.begin(), round.end(), silent[500 + j].record) != round.end());
    }
}

TEST(SilentNodeRotation, NodesThatWereHeardLeaveRoomForTheOthers)
{
    auto silent = makeSilentNodes(1000);
    for (size_t i = 0; i < 500; ++i)
        silent[i].lastMessageAt = base::Instant(std::chrono::seconds(1));
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i) {
        for (const auto& node : rotation.next(silent))
            chosen.insert(node.name.text);
    }
    LONGS_EQUAL(1000, chosen.size());
}

// Guards against a query, with a connection of its own, to each of thousands of removed machines at once.
TEST(SilentNodeRotation, HubQueriesFewOfManyRemovedNodesAtATime)
{
    FakePeerCluster cluster;
    auto& a1 = cluster.add("z1", "dc-a");
    std::vector<sync::NodeRecord> nodes { a1.record };
    for (auto& node : makeSilentNodes(5000))
        nodes.push_back(std::move(node.record));
    a1.sync.setNodes(nodes);
    std::set<std::string> receivers;
    for (auto end = cluster.now + milliseconds(1900); cluster.now < end; cluster.now += milliseconds(50)) {
        for (const auto& item : a1.sync.tick(cluster.now)) {
            if (std::holds_alternative<replication::StateQuery>(item.message))
                receivers.insert(item.address);
        }
    }
    CHECK_TRUE(receivers.size() > 0);
    CHECK_TRUE(receivers.size() <= SilentNodeRotation::maxQueriesPerRound + 1);
}
