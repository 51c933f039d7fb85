// The node establishes no connection for some seconds, for example because its link is full, and then does again. A request that
// can get no other answer goes on as long as its deadline is far.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UnreachableUpstreams)
{
    static constexpr milliseconds tickInterval { 20 };
    static constexpr milliseconds connectTimeout { 350 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;
    unsigned connects = 0;

    base::Instant now() const { return fixture.clock.now(); }

    void addUpstreams(const std::string& service, int count)
    {
        static constexpr std::array dataCentres { "dc-a", "dc-b", "dc-c" };
        for (int i = 0; i < count; ++i)
            fixture.addUpstream(service + std::to_string(i), service, dataCentres[static_cast<size_t>(i) % dataCentres.size()]);
        fixture.update();
    }

    Step begin(const forward::ExchangeRequest& request)
    {
        exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        return exchange->begin(now(), 1);
    }

    // Begins a stream and lets its upstream break it off after the first event.
    Step breakOffStream(const forward::ExchangeRequest& request)
    {
        CHECK_TRUE(begin(request).kind == StepKind::Send);
        exchange->recordActivity(now());
        exchange->recordEvent(1, now());
        exchange->recordHeadersSent();
        return exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    }

    // Lets each connection that `step` and the following ones ask for end after `delay`. Returns the first step that ends
    // the request, or the last one if there is none.
    Step failConnections(Step step, base::Duration duration, base::Duration delay)
    {
        uint64_t random = 1;
        for (auto until = now() + duration; now() < until;) {
            if (step.kind == StepKind::Send) {
                ++connects;
                exchange->recordConnecting();
                fixture.advance(delay);
                step = exchange->attemptEnded(AttemptOutcome::NotConnected, now(), ++random);
                continue;
            }
            if (step.kind != StepKind::Wait)
                return step;
            fixture.advance(tickInterval);
            step = exchange->tick(now(), ++random);
        }
        return step;
    }

    // Lets the request wait until it is sent again.
    Step waitForSend(Step step, base::Duration duration)
    {
        for (auto until = now() + duration; step.kind == StepKind::Wait && now() < until;) {
            fixture.advance(tickInterval);
            step = exchange->tick(now(), 1);
        }
        return step;
    }

    void checkGoesOn(const Step& step)
    {
        auto next = waitForSend(step, seconds(4));
        CHECK_TRUE_TEXT(next.kind == StepKind::Send, base::nameOf(next.kind).data());
        CHECK_TRUE(next.send.lastEventId == 1);
        exchange->recordActivity(now());
        exchange->recordEvent(2, now());
        CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
    }
};

TEST(UnreachableUpstreams, StreamGoesOnAfterFiveSecondsWithManyUpstreams)
{
    addUpstreams("engines", 280);
    checkGoesOn(failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(5), connectTimeout));
}

TEST(UnreachableUpstreams, StreamGoesOnAfterFiveSecondsWithThreeUpstreams)
{
    addUpstreams("engines", 3);
    checkGoesOn(failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(5), connectTimeout));
}

TEST(UnreachableUpstreams, StreamGoesOnAfterItsConnectionsWereRefused)
{
    addUpstreams("engines", 3);
    checkGoesOn(failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(5), milliseconds(1)));
    // A refused connection ends at once. The upstreams are not asked again and again.
    CHECK_TRUE_TEXT(connects <= 20, std::to_string(connects).c_str());
}

TEST(UnreachableUpstreams, StreamGoesOnOnceAnotherUpstreamIsListed)
{
    addUpstreams("engines", 2);
    auto step = failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(3), connectTimeout);
    fixture.addUpstream("added", "engines", "dc-b");
    fixture.update();
    checkGoesOn(step);
}

TEST(UnreachableUpstreams, StreamGoesOnOnceAnUpstreamTakesRequestsAgain)
{
    addUpstreams("engines", 3);
    CHECK_TRUE(begin(fixture.makeRequest("/stream/x")).kind == StepKind::Send);
    exchange->recordEvent(1, now());
    exchange->recordHeadersSent();
    for (const auto& instance : fixture.instances)
        fixture.fleet.deferRequests(instance, seconds(2), now());
    checkGoesOn(failConnections(exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1), seconds(1), connectTimeout));
}

// Connections that were not established use none of the budget.
TEST(UnreachableUpstreams, StreamGoesOnWithASingleRetryInTheBudget)
{
    addUpstreams("engines", 3);
    fixture.fleet.setNodeCount(1);
    auto request = fixture.makeRequest("/stream/x");
    request.retries.ratio = 0;
    request.retries.slack = 1;
    checkGoesOn(failConnections(breakOffStream(request), seconds(5), connectTimeout));
}

TEST(UnreachableUpstreams, StreamGoesOnOnceTheRetryBudgetPermitsIt)
{
    addUpstreams("engines", 3);
    fixture.fleet.setNodeCount(1);
    auto request = fixture.makeRequest("/stream/x");
    request.retries.ratio = 0;
    request.retries.slack = 1;
    CHECK_TRUE(fixture.fleet.tryAcquireRetry(request.service, request.retries, now()));
    auto step = breakOffStream(request);
    CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
    step = failConnections(step, seconds(8), connectTimeout);
    LONGS_EQUAL(0, connects);
    checkGoesOn(step);
    CHECK_FALSE(fixture.fleet.tryAcquireRetry(request.service, request.retries, now()));
}

TEST(UnreachableUpstreams, StreamGoesOnAfterDescriptorsWereScarce)
{
    addUpstreams("engines", 3);
    auto step = breakOffStream(fixture.makeRequest("/stream/x"));
    for (auto until = now() + seconds(4); now() < until;) {
        if (step.kind == StepKind::Send)
            step = exchange->attemptNotStarted(now());
        CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
        fixture.advance(tickInterval);
        step = exchange->tick(now(), 1);
    }
    checkGoesOn(step);
}

TEST(UnreachableUpstreams, StreamEndsAtItsDeadline)
{
    addUpstreams("engines", 3);
    auto began = now();
    auto step = failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(60), connectTimeout);
    CHECK_TRUE(step.kind == StepKind::TimeOut || step.kind == StepKind::Fail);
    CHECK_TRUE(now() - began >= seconds(25));
    CHECK_TRUE(now() - began <= seconds(25) + connectTimeout);
}

// Nothing remains to wait for once the unreachable upstream has left.
TEST(UnreachableUpstreams, StreamEndsSoonIfNoUpstreamIsLeft)
{
    addUpstreams("engines", 2);
    auto step = failConnections(breakOffStream(fixture.makeRequest("/stream/x")), seconds(3), connectTimeout);
    CHECK_TRUE(step.kind == StepKind::Wait);
    fixture.instances.clear();
    fixture.update();
    auto end = failConnections(step, seconds(2), connectTimeout);
    CHECK_TRUE_TEXT(end.kind == StepKind::Fail, base::nameOf(end.kind).data());
}

// The client can come back, and is told so in time.
TEST(UnreachableUpstreams, RequestThatWasNeverSentIsRefusedAsNotRun)
{
    addUpstreams("desk", 3);
    for (const char* path : { "/book/x", "/read/x" }) {
        auto began = now();
        auto step = failConnections(begin(fixture.makeRequest(path)), seconds(5), milliseconds(1));
        CHECK_TRUE(step.kind == StepKind::Refuse && step.code == base::ResultCode::NoUpstream);
        CHECK_TRUE(step.retryAfter > base::Duration {});
        CHECK_TRUE(now() - began < milliseconds(200));
    }
}
