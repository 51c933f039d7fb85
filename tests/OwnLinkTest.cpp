// Upstreams are not reached because the node's own link is full or cut.

#include "fakes/FakePeerCluster.h"
#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fleet::SuspicionCause;
using std::chrono::milliseconds;

TEST_GROUP(OwnLink)
{
    fakes::FleetFixture fixture;

    void setup() override { fixture.addEngines(); }
    base::Instant now() const { return fixture.clock.now(); }
    const fleet::UpstreamInstance& engine(size_t index) const { return fixture.instances[index]; }

    void answerOneQuestion()
    {
        fixture.fleet.recordPeerAsked(now());
        fixture.advance(milliseconds(3));
        fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    }

    // Fails the engines with these indices, of which there are three in each data centre, one every `interval`. Returns how
    // many of the failures are told to the other nodes.
    size_t toldOf(const std::vector<size_t>& engines, SuspicionCause cause, base::Duration interval = milliseconds(5))
    {
        for (auto index : engines) {
            fixture.advance(interval);
            fixture.fleet.suspect(engine(index), cause, now());
        }
        return fixture.fleet.takeSuspicionReports().size();
    }
};

TEST(OwnLink, NodeWhoseLinkIsFullAccusesNobody)
{
    // Answers of peers and some connections still arrive, all of them late.
    fixture.fleet.recordPeerAnswer(milliseconds(800), now());
    fixture.fleet.recordConnected(engine(1), now());
    LONGS_EQUAL(0, toldOf({ 0, 3, 6, 4 }, SuspicionCause::Silent));
}

TEST(OwnLink, NodeThatIsCutOffFromAllUpstreamsKeepsQuiet)
{
    fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    fixture.advance(milliseconds(800));
    LONGS_EQUAL(0, toldOf({ 0, 1, 2, 3, 4, 5, 6, 7, 8 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, NodeAccusesAgainOnceItsLinkIsFree)
{
    LONGS_EQUAL(0, toldOf({ 0, 3, 6 }, SuspicionCause::Unreachable));
    fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    LONGS_EQUAL(1, toldOf({ 0 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, NodeAccusesAgainOnceItReachesUpstreams)
{
    LONGS_EQUAL(0, toldOf({ 0, 3, 6 }, SuspicionCause::Unreachable));
    for (size_t index : { 0, 1, 3, 4, 6 })
        fixture.fleet.recordConnected(engine(index), now());
    LONGS_EQUAL(1, toldOf({ 0 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, OldFailuresDoNotMakeTheLinkDoubtful)
{
    LONGS_EQUAL(4, toldOf({ 0, 3, 6, 1 }, SuspicionCause::Unreachable, milliseconds(600)));
}

TEST(OwnLink, UpstreamsAreUsedSoonAfterTheLinkWasFull)
{
    for (int round = 0; round < 4; ++round) {
        toldOf({ 0, 3, 6 }, SuspicionCause::Unreachable);
        fixture.advance(milliseconds(700));
    }
    for (size_t index : { 0, 3, 6 })
        CHECK_TRUE(fixture.fleet.takesWork(engine(index), now()));
    CHECK_FALSE(fixture.fleet.isOutageSuspected(engine(6), now()));
}

TEST(OwnLink, DarkDataCentreIsToldAtOnce)
{
    // The hub of the node is dark as well.
    fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    fixture.advance(milliseconds(2000));
    LONGS_EQUAL(3, toldOf({ 3, 4, 5 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, OutageOfMostUpstreamsIsToldAtOnceWhilePeersAnswer)
{
    fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    fixture.advance(milliseconds(500));
    LONGS_EQUAL(6, toldOf({ 0, 1, 3, 4, 6, 7 }, SuspicionCause::Silent));
}

TEST(OwnLink, OutageOfHalfOfTheUpstreamsIsToldWhileTheOthersAreReached)
{
    for (size_t index : { 2, 5, 8 })
        fixture.fleet.recordConnected(engine(index), now());
    LONGS_EQUAL(5, toldOf({ 0, 1, 3, 4, 6 }, SuspicionCause::Silent));
}

TEST(OwnLink, FailuresThatArriveOverTheLinkAreTold)
{
    LONGS_EQUAL(0, toldOf({ 0, 3, 6 }, SuspicionCause::Unreachable));
    LONGS_EQUAL(2, toldOf({ 1, 4 }, SuspicionCause::ConnectionLost));
    LONGS_EQUAL(1, toldOf({ 2 }, SuspicionCause::Replaced));
}

TEST(OwnLink, NodeThatIsCutOffForAMomentAccusesNobody)
{
    answerOneQuestion();
    // The cut begins here, and is over when the next answer arrives.
    fixture.advance(milliseconds(190));
    fixture.fleet.recordPeerAsked(now());
    fixture.advance(milliseconds(160));
    LONGS_EQUAL(0, toldOf({ 0, 3, 6, 4 }, SuspicionCause::Unreachable));
    fixture.advance(milliseconds(50));
    answerOneQuestion();
    // These connections were started before that.
    LONGS_EQUAL(0, toldOf({ 1, 7 }, SuspicionCause::Unreachable, milliseconds(100)));
    fixture.advance(milliseconds(200));
    answerOneQuestion();
    LONGS_EQUAL(1, toldOf({ 2 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, NodeWhoseLinkIsFullForLongAccusesNobody)
{
    answerOneQuestion();
    fixture.fleet.recordPeerAsked(now());
    for (int round = 0; round < 12; ++round) {
        fixture.advance(milliseconds(250));
        fixture.fleet.recordPeerAnswer(milliseconds(200), now());
        fixture.fleet.recordPeerAsked(now());
        LONGS_EQUAL(0, toldOf({ 0, 3, 6 }, SuspicionCause::Unreachable));
    }
}

TEST(OwnLink, OutageIsToldAtOnceWhileOnePeerIsGoneAndAnotherAnswers)
{
    fixture.fleet.recordPeerAsked(now());
    fixture.fleet.recordPeerAsked(now());
    fixture.advance(milliseconds(3));
    fixture.fleet.recordPeerAnswer(milliseconds(3), now());
    fixture.advance(milliseconds(400));
    LONGS_EQUAL(6, toldOf({ 0, 1, 3, 4, 6, 7 }, SuspicionCause::Unreachable));
}

TEST(OwnLink, OutageIsToldAtOnceWhilePeersAnswerSlowly)
{
    for (int round = 0; round < 4; ++round) {
        fixture.fleet.recordPeerAsked(now());
        fixture.advance(milliseconds(140));
        fixture.fleet.recordPeerAnswer(milliseconds(140), now());
        fixture.advance(milliseconds(110));
    }
    fixture.fleet.recordPeerAsked(now());
    LONGS_EQUAL(6, toldOf({ 0, 1, 3, 4, 6, 7 }, SuspicionCause::Silent));
}

TEST(OwnLink, NodeWhoseHubAloneIsGoneAsksAnotherNodeAndAccusesUpstreams)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "a3" })
        cluster.add(name, "dc-a").fleet.update(fixture.instances, cluster.now, {});
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    cluster.stoppedNodes.insert("a1");
    cluster.run(milliseconds(850));
    auto& node = *cluster.nodes[2];
    for (size_t index : { 0, 3, 6, 4, 7 })
        node.fleet.suspect(engine(index), SuspicionCause::Silent, cluster.now);
    LONGS_EQUAL(5, node.fleet.takeSuspicionReports().size());
}

TEST(OwnLink, UpstreamsStayInUseAfterANodeWasCutOffForAMoment)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "a3", "b1" })
        cluster.add(name, std::string("dc-") + name[0]).fleet.update(fixture.instances, cluster.now, {});
    cluster.shareNodeList();
    cluster.run(milliseconds(1700));
    // Nothing reaches the node, and what it sends arrives.
    cluster.lossLimits["a2"] = 0;
    cluster.run(milliseconds(450));
    for (size_t index : { 0, 3, 6, 4 })
        cluster.nodes[1]->fleet.suspect(engine(index), SuspicionCause::Unreachable, cluster.now);
    cluster.lossLimits.clear();
    cluster.run(milliseconds(300));
    cluster.nodes[1]->fleet.suspect(engine(7), SuspicionCause::Unreachable, cluster.now);
    cluster.run(milliseconds(200));
    for (size_t index : { 0, 3, 6, 4, 7 }) {
        CHECK_TRUE(cluster.nodes[0]->fleet.takesWork(engine(index), cluster.now));
        CHECK_TRUE(cluster.nodes[3]->fleet.takesWork(engine(index), cluster.now));
    }
}

TEST(OwnLink, UpstreamsStayInUseAtNodesWhoseLinksAreFree)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "b1" })
        cluster.add(name, std::string("dc-") + name[0]).fleet.update(fixture.instances, cluster.now, {});
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    // Nothing reaches the node, and what it sends arrives.
    cluster.lossLimits["a2"] = 0;
    cluster.run(milliseconds(800));
    for (size_t index : { 0, 3, 6, 4, 7 })
        cluster.nodes[1]->fleet.suspect(engine(index), SuspicionCause::Silent, cluster.now);
    cluster.run(milliseconds(200));
    for (size_t index : { 0, 3, 6, 4, 7 }) {
        CHECK_TRUE(cluster.nodes[0]->fleet.takesWork(engine(index), cluster.now));
        CHECK_TRUE(cluster.nodes[2]->fleet.takesWork(engine(index), cluster.now));
    }
    // The same failures on a free link are told.
    cluster.lossLimits.clear();
    cluster.run(milliseconds(2500));
    for (size_t index : { 0, 3, 6, 4, 7 })
        cluster.nodes[1]->fleet.suspect(engine(index), SuspicionCause::Silent, cluster.now);
    cluster.run(milliseconds(200));
    CHECK_FALSE(cluster.nodes[0]->fleet.takesWork(engine(3), cluster.now));
    CHECK_FALSE(cluster.nodes[2]->fleet.takesWork(engine(3), cluster.now));
}
