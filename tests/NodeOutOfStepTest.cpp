// A node that was cut off from the others, or stood still, doesn't know of the upstreams that have joined meanwhile. Streams that
// other nodes began there must not go on at another version when clients take them up at this node.

#include "fakes/OriginNode.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakeOriginStore;
using fakes::OriginNode;
using origin::ResolutionKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A client waits for longer than this for the next event.
static constexpr base::Duration maxRefusalTime = seconds(3);

static void checkKnown(const origin::Resolution& resolution, const std::string& version)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Known);
    STRCMP_EQUAL(version.c_str(), resolution.origin.version.text.c_str());
}

static void checkUnknown(const origin::Resolution& resolution)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Unknown);
}

TEST_GROUP(NodeOutOfStep)
{
    FakeOriginStore store;

    void state(const std::vector<std::string>& versions, base::Duration duration)
    {
        OriginNode leader(store, "a");
        leader.role.setLeader(true);
        leader.list(versions);
        leader.run(duration);
    }
    // Brings the node in step beside the versions, and out of step from then on.
    static void lose(OriginNode & node, const std::vector<std::string>& versions)
    {
        node.list(versions);
        node.run(seconds(1));
        node.isOutOfStep = true;
    }
};

TEST(NodeOutOfStep, StreamOfANewVersionDoesNotGoOnAtTheOnlyOneThatTheNodeKnows)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    OriginNode sender(store, "b", node.clock.now());
    sender.list({ "v1", "v2" });
    sender.run(milliseconds(300));
    sender.send("s1", "v2");
    sender.run(milliseconds(300));
    node.clock.moveTo(sender.clock.now());
    checkKnown(node.resolveAtLast("s1"), "v2");
}

TEST(NodeOutOfStep, NodeThatIsCutOffFromStoreAndNodesRefusesInTime)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    store.isDown = true;
    auto began = node.clock.now();
    checkUnknown(node.resolveAtLast("s1"));
    CHECK_TRUE(node.clock.now() - began <= maxRefusalTime);
    // A stream that its client doesn't name can only be one of the only version.
    checkUnknown(node.resolveAtLast(""));
    CHECK_TRUE(node.clock.now() - began <= 2 * maxRefusalTime);
}

TEST(NodeOutOfStep, OtherNodeThatKnowsTheStreamIsBelieved)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    store.isDown = true;
    OriginNode sender(store, "b", node.clock.now());
    sender.list({ "v1", "v2" });
    sender.send("s1", "v2");
    auto ask = [&](const auto& attempts) { node.origins.lookups().answerFromPeer(sender.origins.find(attempts)); };
    checkKnown(node.resolveAtLast("s1", ask), "v2");
    // It stays bound, also for a list that has come since.
    node.list({ "v3" });
    checkKnown(node.resolve("s1"), "v2");
}

TEST(NodeOutOfStep, ListAndStatementThatAreStaleAlikeAssignNoStream)
{
    state({ "v1", "v2" }, seconds(7));
    OriginNode node(store, "c", base::Instant(seconds(1007)));
    lose(node, { "v1", "v2" });
    store.isDown = true;
    OriginNode sender(store, "b", node.clock.now());
    sender.list({ "v1", "v2", "v3" });
    auto stream = sender.attemptAssignedTo("v3");
    checkUnknown(node.resolveAtLast(stream));
    // The same in step, which the new version doesn't get.
    node.isOutOfStep = false;
    checkKnown(node.resolveAtLast(sender.attemptAssignedTo("v1")), "v1");
}

TEST(NodeOutOfStep, NodeThatStoodStillDoesNotTrustItsList)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    node.list({ "v1" });
    node.run(seconds(1));
    OriginNode sender(store, "b", node.clock.now());
    sender.list({ "v1", "v2" });
    sender.send("s1", "v2");
    sender.run(seconds(4));
    node.clock.moveTo(sender.clock.now());
    auto arrivedAt = node.clock.now();
    CHECK_TRUE(node.resolve("s1", arrivedAt).kind == ResolutionKind::Pending);
    node.list({ "v1", "v2" });
    checkKnown(node.resolveAtLast("s1"), "v2");
}

// It knows one version, and writes no records.
TEST(NodeOutOfStep, StreamsThatTheNodeBeganAreFoundAndNotAssigned)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    OriginNode leader(store, "a", node.clock.now());
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    leader.run(seconds(8));
    auto stream = leader.attemptAssignedTo("v2");
    node.clock.moveTo(leader.clock.now());
    node.send(stream, "v1");
    node.run(seconds(1));
    checkUnknown(leader.resolveAtLast(stream));
    auto ask = [&](const auto& attempts) { leader.origins.lookups().answerFromPeer(node.origins.find(attempts)); };
    checkKnown(leader.resolveAtLast(stream, ask), "v1");
}

TEST(NodeOutOfStep, StreamGoesOnOnceTheNodeIsInStepAgain)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    store.isDown = true;
    auto arrivedAt = node.clock.now();
    node.run(milliseconds(700));
    CHECK_TRUE(node.resolve("s1", arrivedAt).kind == ResolutionKind::Pending);
    node.isOutOfStep = false;
    node.run(milliseconds(100));
    checkKnown(node.resolve("s1", arrivedAt), "v1");
}

TEST(NodeOutOfStep, WordOfTheOtherNodesIsEnoughWhileTheStoreIsAway)
{
    state({ "v1" }, seconds(1));
    OriginNode node(store, "c");
    lose(node, { "v1" });
    auto reads = store.reads;
    node.run(seconds(1));
    auto arrivedAt = node.clock.now();
    CHECK_TRUE(node.resolve("s1", arrivedAt).kind == ResolutionKind::Pending);
    CHECK_TRUE(node.origins.listCurrency().isCheckNeeded(node.clock.now()));
    node.run(milliseconds(200));
    node.origins.listCurrency().recordCheck(arrivedAt);
    checkKnown(node.resolve("s1", arrivedAt), "v1");
    CHECK_FALSE(node.origins.listCurrency().isCheckNeeded(node.clock.now()));
    // A take-up that arrives after the check needs another one.
    node.run(milliseconds(100));
    CHECK_TRUE(node.resolve("s2").kind == ResolutionKind::Pending);
    LONGS_EQUAL(reads, store.reads);
}
