// All nodes may be killed while streams of several software versions run, with the store away, restored or slow. A node that
// starts again must not take a stream up at another version than the one that began it.

#include "fakes/OriginNode.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakeOriginStore;
using fakes::OriginNode;
using origin::ResolutionKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The client's time in the fixture's manifest, by half as much again.
static constexpr base::Duration lifetime = milliseconds(37500);

// Upstreams register again within it after a restore.
static constexpr base::Duration settlingTime = seconds(6);

static void checkKnown(const origin::Resolution& resolution, const std::string& version)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Known);
    STRCMP_EQUAL(version.c_str(), resolution.origin.version.text.c_str());
}

static void checkUnknown(const origin::Resolution& resolution)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Unknown);
}

TEST_GROUP(StreamOrigins)
{
    FakeOriginStore store;

    // A leader that has run beside v1 for as long as a stream lives, so that the store tells of v1.
    void stateOneVersion()
    {
        OriginNode leader(store, "a");
        leader.role.setLeader(true);
        leader.list({ "v1" });
        leader.run(seconds(1));
    }
    size_t statedVersions() { return store.content.statement.services.at({ "engines" }).versions().size(); }
};

TEST(StreamOrigins, OnlyVersionNeedsNoRecord)
{
    stateOneVersion();
    auto writes = store.writes;
    OriginNode node(store, "b");
    node.list({ "v1" });
    node.run(seconds(1));
    node.send("s1", "v1");
    node.run(seconds(1));
    LONGS_EQUAL(writes, store.writes);
    OriginNode again(store, "c", node.clock.now());
    again.list({ "v1" });
    again.run(seconds(1));
    auto reads = store.reads;
    // The list's next confirmation is all that is waited for.
    auto began = again.clock.now();
    checkKnown(again.resolveAtLast("s1"), "v1");
    CHECK_TRUE(again.clock.now() - began <= OriginNode::pollInterval);
    LONGS_EQUAL(reads, store.reads);
    LONGS_EQUAL(writes, store.writes);
}

// The store's calls are limited and billed.
TEST(StreamOrigins, OneReadAtTheStartAndNoFurtherCallsWhileThereIsOneVersion)
{
    stateOneVersion();
    auto reads = store.reads;
    auto writes = store.writes;
    OriginNode node(store, "b");
    node.list({ "v1" });
    node.run(seconds(30));
    LONGS_EQUAL(reads + 1, store.reads);
    LONGS_EQUAL(writes, store.writes);
}

TEST(StreamOrigins, StreamIsKnownAfterAllNodesWereKilled)
{
    stateOneVersion();
    auto now = [&] {
        OriginNode killed(store, "b");
        killed.list({ "v1" });
        killed.run(seconds(1));
        killed.send("s1", "v1");
        killed.list({ "v1", "v2" });
        killed.send("s2", "v2");
        killed.run(milliseconds(300));
        return killed.clock.now();
    }();
    OriginNode node(store, "c", now);
    node.list({ "v1", "v2" });
    checkKnown(node.resolveAtLast("s1"), "v1");
    checkKnown(node.resolveAtLast("s2"), "v2");
}

// The node that writes next is the one whose earlier process sent the streams.
TEST(StreamOrigins, NodeThatStartsAgainKeepsTheRecordsOfItsEarlierProcess)
{
    auto now = [&] {
        OriginNode killed(store, "b");
        killed.list({ "v1", "v2" });
        killed.run(milliseconds(300));
        killed.send("s1", "v1");
        killed.run(milliseconds(300));
        return killed.clock.now();
    }();
    OriginNode again(store, "b", now);
    again.list({ "v1", "v2" });
    again.run(milliseconds(300));
    again.send("s2", "v2");
    again.run(milliseconds(300));
    OriginNode other(store, "c", again.clock.now());
    other.list({ "v1", "v2" });
    checkKnown(other.resolveAtLast("s1"), "v1");
    checkKnown(other.resolveAtLast("s2"), "v2");
}

TEST(StreamOrigins, StreamThatNobodyKnowsIsRefused)
{
    stateOneVersion();
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(seconds(1));
    auto began = node.clock.now();
    checkUnknown(node.resolveAtLast(node.attemptAssignedTo("v2")));
    // A client that is told at once may still ask anew.
    CHECK_TRUE(node.clock.now() - began <= milliseconds(700));
}

// The list shows only the new version, since all upstreams of the earlier one left while the nodes were down.
TEST(StreamOrigins, VersionThatLeftWhileAllNodesWereDownIsNotTakenForTheNewOne)
{
    stateOneVersion();
    OriginNode node(store, "b");
    node.list({ "v2" });
    node.run(seconds(1));
    checkUnknown(node.resolveAtLast("s1"));
    node.run(lifetime);
    checkKnown(node.resolveAtLast("s2"), "v2");
}

TEST(StreamOrigins, LeaderStatesOneVersionOnlyAfterTheOthersHaveBeenAwayForTheLifeOfAStream)
{
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    leader.run(seconds(1));
    LONGS_EQUAL(2, statedVersions());
    leader.list({ "v2" });
    leader.run(lifetime - seconds(1));
    LONGS_EQUAL(2, statedVersions());
    leader.run(seconds(2));
    LONGS_EQUAL(1, statedVersions());
    LONGS_EQUAL(1, store.content.statement.services.at({ "engines" }).versions().count({ "v2" }));
}

// Its list is that of before the pause, and another leader has stated more since.
TEST(StreamOrigins, LeaderWithAnOldListStatesNothing)
{
    stateOneVersion();
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v2" });
    leader.clock.moveTo(leader.clock.now() + seconds(60));
    auto writes = store.writes;
    leader.task.poll();
    leader.task.poll();
    LONGS_EQUAL(writes, store.writes);
}

TEST(StreamOrigins, RecordsAreWrittenOnceTheStoreIsBack)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    store.isDown = true;
    node.send("s1", "v1");
    node.run(seconds(5));
    store.isDown = false;
    node.run(seconds(3));
    OriginNode other(store, "c", node.clock.now());
    other.list({ "v1", "v2" });
    checkKnown(other.resolveAtLast("s1"), "v1");
}

TEST(StreamOrigins, WriteWhoseResponseWasLostDoesNotEndTheWriting)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    store.losesResponses = true;
    node.send("s1", "v1");
    node.run(milliseconds(200));
    store.losesResponses = false;
    node.send("s2", "v2");
    node.run(seconds(3));
    LONGS_EQUAL(2, store.content.nodes.front().streams.size());
}

// The copy lacks what was acknowledged since.
TEST(StreamOrigins, RecordsAreWrittenAgainAfterARestore)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    auto copy = store.content;
    node.send("s1", "v1");
    node.run(milliseconds(300));
    store.restore(copy);
    node.era.learn(store.content.era, node.clock.now());
    node.run(milliseconds(300));
    LONGS_EQUAL(1, store.content.nodes.size());
    LONGS_EQUAL(1, store.content.nodes.front().streams.size());
}

// All nodes may be killed a moment after the store's return, while this one still pauses after calls that failed.
TEST(StreamOrigins, RecordsAreWrittenAgainAsSoonAsARestoredStoreIsBack)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    auto copy = store.content;
    node.send("s1", "v1");
    node.run(milliseconds(300));
    store.isDown = true;
    node.send("s2", "v2");
    node.run(milliseconds(1700));
    store.isDown = false;
    store.restore(copy);
    // Another task of the node has read the store.
    node.era.learn(store.content.era, node.clock.now());
    node.run(milliseconds(300));
    LONGS_EQUAL(1, store.content.nodes.size());
    LONGS_EQUAL(2, store.content.nodes.front().streams.size());
}

// A store that answers one task and fails another is not called without pauses.
TEST(StreamOrigins, CallsThatFailAfterARestoreArePaused)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    store.isDown = true;
    node.send("s1", "v1");
    node.run(milliseconds(1700));
    node.era.learn(store.content.era + 1, node.clock.now());
    auto failures = store.failures;
    node.run(milliseconds(1000));
    LONGS_EQUAL(failures + 1, store.failures);
}

// The copy is from before the second version came, and all nodes that knew of it are gone.
TEST(StreamOrigins, StatementOfARestoredStoreDoesNotProveThatThereWasOneVersion)
{
    stateOneVersion();
    auto copy = store.content;
    std::string stream;
    auto now = [&] {
        OriginNode killed(store, "b");
        killed.list({ "v1", "v2" });
        stream = killed.attemptAssignedTo("v2");
        killed.send(stream, "v2");
        killed.run(seconds(1));
        return killed.clock.now();
    }();
    store.restore(copy);
    OriginNode node(store, "c", now);
    node.list({ "v1", "v2" });
    checkUnknown(node.resolveAtLast(stream));
}

// The records since the copy are lost with the nodes, but the versions have not changed since.
TEST(StreamOrigins, LostRecordIsWorkedOutFromTheAttemptIfTheVersionsHaveNotChanged)
{
    origin::StoredOrigins copy;
    std::string first;
    std::string second;
    auto now = [&] {
        OriginNode killed(store, "b");
        killed.role.setLeader(true);
        killed.list({ "v1", "v2" });
        killed.run(seconds(1));
        copy = store.content;
        first = killed.attemptAssignedTo("v1");
        second = killed.attemptAssignedTo("v2");
        killed.send(first, "v1");
        killed.send(second, "v2");
        killed.run(seconds(1));
        return killed.clock.now();
    }();
    store.restore(copy);
    OriginNode leader(store, "a", now);
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    // The list and the statement may be those of the copy, until upstreams have registered again.
    checkUnknown(leader.resolveAtLast(first));
    leader.run(settlingTime);
    OriginNode node(store, "c", leader.clock.now());
    node.list({ "v1", "v2" });
    checkKnown(node.resolveAtLast(first), "v1");
    checkKnown(node.resolveAtLast(second), "v2");
}

// The only version of long ago says nothing of a stream that began since.
TEST(StreamOrigins, LostRecordIsWorkedOutAlthoughTheVersionsChangedLongBefore)
{
    stateOneVersion();
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    leader.run(seconds(30));
    // Starts again, and reads what it has stated itself.
    OriginNode again(store, "a", leader.clock.now());
    again.role.setLeader(true);
    again.list({ "v1", "v2" });
    again.run(seconds(10));
    OriginNode node(store, "c", again.clock.now());
    node.list({ "v1", "v2" });
    checkKnown(node.resolveAtLast(node.attemptAssignedTo("v2")), "v2");
}

// What the leader states after the nodes came back says nothing of the streams before.
TEST(StreamOrigins, LostRecordIsNotWorkedOutFromALaterStatement)
{
    stateOneVersion();
    auto copy = store.content;
    store.restore(copy);
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    leader.run(settlingTime);
    OriginNode node(store, "c", leader.clock.now());
    node.list({ "v1", "v2" });
    checkUnknown(node.resolveAtLast(node.attemptAssignedTo("v2")));
    checkKnown(node.resolveAtLast(node.attemptAssignedTo("v1")), "v1");
}

// A third version has come since, and streams that began before went to one of the others.
TEST(StreamOrigins, LostRecordIsNotWorkedOutIfANewVersionWouldGetTheStream)
{
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v1", "v2" });
    leader.run(seconds(1));
    OriginNode node(store, "c", leader.clock.now());
    node.list({ "v1", "v2", "v3" });
    checkUnknown(node.resolveAtLast(node.attemptAssignedTo("v3")));
    auto kept = node.attemptAssignedTo("v1");
    checkKnown(node.resolveAtLast(kept), "v1");
}

TEST(StreamOrigins, OtherNodeIsAskedWhileTheStoreIsAway)
{
    OriginNode sender(store, "b");
    sender.list({ "v1", "v2" });
    sender.run(milliseconds(300));
    OriginNode node(store, "c");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    store.isDown = true;
    sender.send("s1", "v1");
    auto ask = [&](const auto& attempts) { node.origins.lookups().answerFromPeer(sender.origins.find(attempts)); };
    checkKnown(node.resolveAtLast("s1", ask), "v1");
}

// Availability counts as long as no sign of another version is seen.
TEST(StreamOrigins, StreamGoesOnAtTheOnlyListedVersionIfNobodyAnswers)
{
    store.isDown = true;
    OriginNode node(store, "b");
    node.list({ "v1" });
    auto began = node.clock.now();
    checkKnown(node.resolveAtLast("s1"), "v1");
    CHECK_TRUE(node.clock.now() - began <= milliseconds(2200));
    node.list({ "v1", "v2" });
    checkUnknown(node.resolveAtLast("s2"));
}

// All nodes start again at the same moment, and clients come back before the store has been read.
TEST(StreamOrigins, TakeUpWithoutAnAttemptWaitsUntilTheStoreHasBeenRead)
{
    stateOneVersion();
    OriginNode node(store, "b");
    auto arrivedAt = node.clock.now();
    CHECK_TRUE(node.resolve("", arrivedAt).kind == ResolutionKind::Pending);
    node.list({ "v1" });
    CHECK_TRUE(node.resolve("", arrivedAt).kind == ResolutionKind::Pending);
    checkKnown(node.resolveAtLast(""), "v1");
    CHECK_TRUE(node.clock.now() - arrivedAt <= milliseconds(200));
    // Which of several versions has begun it, nobody can tell.
    node.list({ "v1", "v2" });
    checkUnknown(node.resolve(""));
}

// Its client has more time than the route's timeout, and takes the stream up after the earlier version has left for longer
// than streams of other clients live.
TEST(StreamOrigins, StreamOfAPatientClientIsNotTakenForOneOfTheVersionThatIsLeft)
{
    OriginNode leader(store, "a");
    leader.role.setLeader(true);
    leader.list({ "v1" });
    leader.run(seconds(1));
    leader.origins.recordClientTime(seconds(60));
    leader.send("s1", "v1");
    leader.list({ "v1", "v2" });
    leader.run(seconds(1));
    leader.list({ "v2" });
    leader.run(lifetime + seconds(1));
    OriginNode node(store, "c", leader.clock.now());
    node.list({ "v2" });
    node.run(seconds(1));
    checkKnown(node.resolveAtLast("s1"), "v1");
    // A node that knows neither the client nor its stream.
    checkUnknown(node.resolveAtLast(node.attemptAssignedTo("v2")));
}

// Clients may state any time.
TEST(StreamOrigins, RecordsOfPatientClientsAreBounded)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    node.origins.recordClientTime(std::chrono::hours(1000));
    node.send("s1", "v1");
    node.run(seconds(185));
    node.send("s2", "v2");
    node.run(milliseconds(300));
    LONGS_EQUAL(1, store.content.nodes.front().streams.size());
}

// An attempt whose upstream sent nothing goes to another one, and the first event comes from there.
TEST(StreamOrigins, LastUpstreamBeforeTheFirstEventCounts)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    node.send("s1", "v1");
    node.run(milliseconds(300));
    node.send("s1", "v2");
    node.run(milliseconds(300));
    OriginNode other(store, "c", node.clock.now());
    other.list({ "v1", "v2" });
    checkKnown(other.resolveAtLast("s1"), "v2");
}

TEST(StreamOrigins, RecordsOfOldStreamsAreDropped)
{
    OriginNode node(store, "b");
    node.list({ "v1", "v2" });
    node.run(milliseconds(300));
    node.send("s1", "v1");
    node.run(lifetime + seconds(1));
    node.send("s2", "v2");
    node.run(milliseconds(300));
    LONGS_EQUAL(1, store.content.nodes.front().streams.size());
    STRCMP_EQUAL("s2", store.content.nodes.front().streams.front().attempt.text.c_str());
}
