// Streams that began while the store was silent, and whose nodes were all killed, have no record. Those that nobody knows are
// assigned by the numbers of upstreams of the times in which records are missing, and of these times only.

#include "fakes/OriginNode.h"
#include "fakes/PeerNode.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakeOriginStore;
using fakes::OriginNode;
using origin::ResolutionKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

static void checkKnown(const origin::Resolution& resolution, const std::string& version)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Known);
    STRCMP_EQUAL(version.c_str(), resolution.origin.version.text.c_str());
}

static void checkUnknown(const origin::Resolution& resolution)
{
    CHECK_TRUE(resolution.kind == ResolutionKind::Unknown);
}

TEST_GROUP(UnrecordedStreams)
{
    FakeOriginStore store;
    std::unique_ptr<OriginNode> leader;
    std::unique_ptr<OriginNode> other;
    std::string stream;

    void start(base::Instant now, const std::vector<std::string>& versions)
    {
        leader = std::make_unique<OriginNode>(store, "a", now);
        leader->role.setLeader(true);
        other = std::make_unique<OriginNode>(store, "b", now);
        list(versions);
    }
    void list(const std::vector<std::string>& versions)
    {
        leader->list(versions);
        other->list(versions);
    }
    void runBoth(base::Duration duration)
    {
        for (auto end = leader->clock.now() + duration; leader->clock.now() < end;) {
            leader->run(OriginNode::pollInterval);
            other->run(OriginNode::pollInterval);
        }
    }
    // All nodes are killed, and start again beside the same upstreams.
    void killAll()
    {
        auto versions = listed;
        start(leader->clock.now() + seconds(1), versions);
        runBoth(seconds(2));
    }
    // Returns a stream that goes to v1 beside v1 and v2, whatever their shares within what a statement leaves open, and to v3 once
    // that has joined.
    std::string streamThatANewVersionWouldGet()
    {
        fleet::VersionWeights before { { { { "v1" }, 1 }, { { "v2" }, 1 } } };
        fleet::VersionWeights after { { { { "v1" }, 1 }, { { "v2" }, 1 }, { { "v3" }, 1 } } };
        for (unsigned i = 0;; ++i) {
            base::ClientAttemptId attempt { "s" + std::to_string(i) };
            if (before.clearlyAssigned(attempt).text == "v1" && after.assigned(attempt).text == "v3")
                return attempt.text;
        }
    }
    // Both nodes have run beside v1 and v2 for long, the store falls silent, the stream begins, and all nodes are killed. The store
    // answers again.
    void loseARecord()
    {
        listed = { "v1", "v2" };
        start(base::Instant(seconds(1000)), listed);
        runBoth(seconds(50));
        store.isDown = true;
        runBoth(seconds(1));
        stream = streamThatANewVersionWouldGet();
        other->send(stream, "v1");
        runBoth(seconds(1));
        store.isDown = false;
        killAll();
    }
    // A third version joins.
    void release()
    {
        listed = { "v1", "v2", "v3" };
        list(listed);
        runBoth(seconds(3));
    }
    origin::Resolution takeUp() { return leader->resolveWith(stream, { other.get() }); }

    std::vector<std::string> listed;
};

TEST(UnrecordedStreams, StreamGoesOnByTheNumbersOfTheTimeWithoutRecords)
{
    loseARecord();
    release();
    checkKnown(takeUp(), "v1");
}

TEST(UnrecordedStreams, StreamOfANodeThatHasNotComeBackMayHaveBegunSince)
{
    loseARecord();
    release();
    // The node died at once, and what it began since its last write is not known.
    checkUnknown(leader->resolveWith(stream, {}, { { "b" } }));
}

TEST(UnrecordedStreams, StreamOfANodeWithoutRecordsMayHaveBegunAtAnyTime)
{
    loseARecord();
    release();
    checkUnknown(leader->resolveWith(stream, { other.get() }, { { "c" } }));
}

TEST(UnrecordedStreams, NodesMustHaveBeenAsked)
{
    loseARecord();
    release();
    checkUnknown(leader->resolveAtLast(stream));
}

TEST(UnrecordedStreams, KillDuringTheReleaseIsATimeWithoutRecordsToo)
{
    loseARecord();
    release();
    other->send("later", "v3");
    runBoth(milliseconds(300));
    killAll();
    checkUnknown(takeUp());
    // What was recorded is known.
    stream = "later";
    checkKnown(takeUp(), "v3");
}

TEST(UnrecordedStreams, ReleaseWhileTheStoreWasSilentLeavesBothSides)
{
    listed = { "v1", "v2" };
    start(base::Instant(seconds(1000)), listed);
    runBoth(seconds(50));
    store.isDown = true;
    runBoth(seconds(1));
    listed = { "v1", "v2", "v3" };
    list(listed);
    stream = streamThatANewVersionWouldGet();
    other->send(stream, "v3");
    runBoth(seconds(1));
    store.isDown = false;
    killAll();
    runBoth(seconds(10));
    checkUnknown(takeUp());
}

// The version joined, served and left between two leaders' statements, so that no statement has it.
TEST(UnrecordedStreams, NumbersThatNoLeaderHasObservedFromTheirBeginningAreNotReliedOn)
{
    loseARecord();
    leader->role.setLeader(false);
    runBoth(seconds(1));
    listed = { "v1", "v2", "v3" };
    list(listed);
    runBoth(seconds(1));
    stream = streamThatANewVersionWouldGet();
    store.isDown = true;
    other->send(stream, "v3");
    runBoth(seconds(1));
    store.isDown = false;
    killAll();
    runBoth(seconds(10));
    checkUnknown(takeUp());
}

// A gap that began at its last stream would reach back to the numbers of that time.
TEST(UnrecordedStreams, NodeThatBeginsNoStreamTellsAfterAReleaseThatItsRecordsAreComplete)
{
    listed = { "v1", "v2" };
    start(base::Instant(seconds(1000)), listed);
    runBoth(seconds(5));
    auto releasedAt = OriginNode::WallClock { &other->clock }.now();
    release();
    auto writes = store.writes;
    runBoth(seconds(30));
    // Entries that are too old are taken from the statement.
    CHECK_TRUE(store.writes - writes <= 1);
    for (const auto& node : store.content.nodes)
        CHECK_TRUE(node.coverage.writtenThrough.revision >= releasedAt);
}

// The nodes that know of the time since the copy have written it again.
TEST(UnrecordedStreams, RestoreOfTheStoreLosesNothingThatLivingNodesKnow)
{
    loseARecord();
    auto copy = store.content;
    runBoth(seconds(3));
    store.restore(copy);
    for (auto* node : { leader.get(), other.get() })
        node->era.learn(store.content.era, node->clock.now());
    runBoth(seconds(1));
    killAll();
    release();
    checkKnown(takeUp(), "v1");
}

// Their numbers may have been other ones between the copy and the restore.
TEST(UnrecordedStreams, RestoreAfterAllNodesWereKilledLeavesTheTimeSinceTheCopyOpen)
{
    listed = { "v1", "v2" };
    start(base::Instant(seconds(1000)), listed);
    runBoth(seconds(50));
    auto copy = store.content;
    release();
    stream = streamThatANewVersionWouldGet();
    other->send(stream, "v3");
    runBoth(seconds(1));
    store.restore(copy);
    // Upstreams of the new version register again after a while.
    listed = { "v1", "v2" };
    killAll();
    release();
    runBoth(seconds(20));
    checkUnknown(takeUp());
}

// The numbers that a leader states leave some changes out.
TEST(UnrecordedStreams, StreamIsClearlyAssignedOnlyIfAllSimilarNumbersAgree)
{
    fleet::VersionWeights stated { { { { "v1" }, 10 }, { { "v2" }, 10 } } };
    fleet::VersionWeights similar { { { { "v1" }, 12 }, { { "v2" }, 8 } } };
    CHECK_TRUE(stated.isSimilar(similar));
    unsigned clear = 0;
    unsigned moved = 0;
    for (unsigned i = 0; i < 1000; ++i) {
        base::ClientAttemptId attempt { "s" + std::to_string(i) };
        moved += stated.assigned(attempt) != similar.assigned(attempt);
        auto version = stated.clearlyAssigned(attempt);
        clear += !version.empty();
        CHECK_TRUE(version.empty() || (version == stated.assigned(attempt) && version == similar.assigned(attempt)));
    }
    CHECK_TRUE(moved > 0 && clear > 700 && clear < 900);
    fleet::VersionWeights single { { { { "v1" }, 10 } } };
    CHECK_TRUE(single.clearlyAssigned({ "s" }).text == "v1");
    CHECK_TRUE(fleet::VersionWeights {}.clearlyAssigned({ "s" }).empty());
}

TEST(UnrecordedStreams, NodeRepliesThatItDoesNotKnowAStreamOnceItKnowsAllThatItBegan)
{
    base::Instant now(seconds(100));
    fakes::PeerNode asker("a", "dc");
    fakes::PeerNode asked("b", "dc");
    asker.sync.setNodes({ asker.record, asked.record });
    auto ask = [&] {
        asker.origins.lookups().use({ "s1" }, now);
        asker.origins.lookups().answerFromStore({}, now);
        for (const auto& item : asker.sync.tick(now)) {
            if (!std::holds_alternative<replication::OriginQuery>(item.message))
                continue;
            for (const auto& reply : asked.sync.handle(item.message, now))
                asker.sync.handle(reply.message, now);
        }
        auto lookup = asker.origins.lookups().use({ "s1" }, now);
        asker.origins.lookups().end({ "s1" });
        CHECK_TRUE(lookup.askedNodes && lookup.askedNodes->size() == 1 && lookup.askedNodes->front() == asked.record.name);
        return lookup.disclaimers.size();
    };
    LONGS_EQUAL(0, ask());
    asked.origins.unrecordedTimes().setKeptSince(asked.record.name, { 1, 10 });
    LONGS_EQUAL(1, ask());
    asked.origins.recordSent({ "s1" }, { { "engines" }, { "v1" } }, now);
    LONGS_EQUAL(0, ask());
}
