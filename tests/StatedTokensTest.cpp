#include "forward/ServiceQueue.h"
#include "platform/PlatformHeaderCodec.h"
#include "replication/MessageCodec.h"

#include "PropertyCheck.h"
#include "fakes/FloodRun.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace redwingseam;
using base::Rank;
using fakes::FloodRun;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Numbers of tokens are what a client states. These wrap around in 64 bits if they are added or scaled.
static constexpr std::array<uint64_t, 5> extremes { 0, 1ULL << 32, (1ULL << 63) - 1, 1ULL << 63, UINT64_MAX };

TEST_GROUP(StatedTokens)
{
    static constexpr unsigned engines = 2;

    static schedule::QueuedWork workOf(uint64_t id, const std::string& client, uint64_t cost)
    {
        schedule::QueuedWork work;
        work.request.value = id;
        work.client.text = client;
        work.cost = cost;
        return work;
    }

    // Fills the engines with ordinary streams.
    static void fill(FloodRun & flood)
    {
        for (unsigned i = 0; i < 40; ++i)
            flood.arrive(Rank::Standard);
        CHECK_TRUE(flood.requests.back().exchange && flood.requests.back().exchange->isQueued());
    }

    static FloodRun::Request& arrive(FloodRun & flood, uint64_t promptTokens, uint64_t maxOutputTokens)
    {
        auto request = flood.fixture.makeRequest("/stream/x");
        request.client.text = "account";
        request.promptTokens = promptTokens;
        request.maxOutputTokens = maxOutputTokens;
        auto& added = flood.requests.emplace_back();
        added.exchange = std::make_unique<forward::Exchange>(request, flood.fixture.fleet, flood.fixture.queue, flood.fixture.crashes, flood.fixture.origins, flood.fixture.exchangePolicy);
        added.arrivedAt = flood.now();
        flood.apply(added, added.exchange->begin(flood.now(), ++flood.random * 7919));
        return added;
    }
};

// Guards against a crash: two costs of 2^63 sum up to 0, which was taken for a client without waiting work.
TEST(StatedTokens, ClientWhoseCostsWrapAroundStaysKnownToTheQueue)
{
    forward::ServiceQueue queue;
    auto first = workOf(1, "client", 1ULL << 63);
    auto second = workOf(2, "client", 1ULL << 63);
    auto ordinary = workOf(3, "client", 8650);
    for (const auto& work : { first, second, ordinary })
        queue.push(work, base::Instant(seconds(4)), base::Instant(milliseconds(1)));
    for (const auto& work : { ordinary, first, second })
        queue.remove(work);
    CHECK_TRUE(queue.isEmpty());
}

TEST(StatedTokens, QueueBearsAnyCostInAnyOrder)
{
    CHECK_PROPERTY("work is removed or dispatched whatever the costs, and no expected wait is negative", [](const std::vector<uint16_t>& words) {
        forward::ServiceQueue queue;
        std::deque<schedule::QueuedWork> waiting;
        base::Instant now(seconds(1));
        uint64_t id = 0;
        for (auto word : words) {
            now += milliseconds(word % 64);
            auto work = workOf(++id, "client-" + std::to_string(word / 8 % 3), extremes[word / 24 % extremes.size()]);
            work.rank = static_cast<Rank>(word / 128 % base::rankCount);
            if (auto wait = queue.expectedWait(work, now))
                RC_ASSERT(*wait >= base::Duration {});
            if (word % 8 < 5) {
                queue.push(work, now + seconds(word % 3), now);
                waiting.push_back(work);
                continue;
            }
            auto next = std::find_if(waiting.begin(), waiting.end(), [&](const auto& item) { return queue.isNext(item.request, now); });
            if (word % 8 == 5 && next != waiting.end()) {
                queue.recordDispatch(next->request, now, {});
                waiting.erase(next);
            } else if (!waiting.empty()) {
                queue.remove(waiting.front());
                waiting.pop_front();
            }
        }
        for (const auto& work : waiting)
            queue.remove(work);
        RC_ASSERT(queue.isEmpty());
    });
}

// Guards against bookings that wrap around, after which a full engine counts as empty.
TEST(StatedTokens, HugeOutputLeavesTheBookingsOfOtherRequests)
{
    FloodRun flood(engines);
    arrive(flood, 8000, 650);
    arrive(flood, 8000, 650);
    auto before = flood.fixture.totalLoad();
    auto& huge = arrive(flood, 8000, UINT64_MAX - 8000);
    if (huge.exchange)
        flood.leave(huge);
    CHECK_TRUE(flood.fixture.totalLoad() == before);
}

TEST(StatedTokens, QueueOutlivesClientsThatStateHugeNumbers)
{
    FloodRun flood(engines);
    fill(flood);
    for (auto output : extremes)
        arrive(flood, 8000, output);
    flood.arrive(Rank::Standard);
    for (auto& request : flood.requests) {
        if (request.exchange)
            flood.leave(request);
    }
    CHECK_TRUE(flood.fixture.totalLoad() == fleet::UpstreamLoad {});
    flood.arrive(Rank::Standard);
    CHECK_TRUE(flood.requests.back().dispatchedAt == flood.now());
}

// Guards against messages that every peer rejects, after which the node counts as silent.
TEST(StatedTokens, LoadOfAnySizeIsReadByPeers)
{
    base::Instant now(seconds(5));
    for (auto tokens : extremes) {
        replication::StateQuery query;
        query.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
        query.loads[{ "e1" }] = { 1, tokens, tokens };
        auto read = replication::parseMessage(replication::formatMessage(query, now), now);
        CHECK_TRUE(read.has_value());
        CHECK_TRUE(std::get<replication::StateQuery>(*read).loads == query.loads);
    }
}

TEST(StatedTokens, PromptBeyondTheKvCacheIsRefusedAtOnce)
{
    FloodRun flood(engines);
    auto begin = [&](uint64_t promptTokens) {
        auto request = flood.fixture.makeRequest("/stream/x");
        request.promptTokens = promptTokens;
        forward::Exchange exchange(request, flood.fixture.fleet, flood.fixture.queue, flood.fixture.crashes, flood.fixture.origins, flood.fixture.exchangePolicy);
        return exchange.begin(flood.now(), 1);
    };
    // The engines of the fixture hold 88,000 tokens.
    CHECK_TRUE(begin(88'000).kind == forward::StepKind::Send);
    for (uint64_t promptTokens : { uint64_t { 88'001 }, uint64_t { 1 } << 63, UINT64_MAX }) {
        auto step = begin(promptTokens);
        CHECK_TRUE(step.kind == forward::StepKind::Refuse && step.code == base::ResultCode::RequestTooLarge);
    }
}

TEST(StatedTokens, RefusalOfAPromptThatNoEngineHoldsIsFinal)
{
    fakes::ScriptedUpstream upstream({ { fakes::GatewayFixture::ok("x") } });
    fakes::GatewayFixture gateway;
    gateway.addUpstream("e1", "engines", upstream);
    auto response = gateway.exchange(fakes::GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 9223372036854775808,0\r\n"));
    CHECK_TRUE_TEXT(response.find("HTTP/1.1 413 ") == 0 && response.find("RequestTooLarge") != std::string::npos, response.c_str());
    CHECK_TRUE(response.find("Retry-After") == std::string::npos);
    LONGS_EQUAL(0, upstream.requests().size());
}

TEST(StatedTokens, NumberBeyondItsTypeIsALargeOne)
{
    for (const char* usage : { "18446744073709551615,18446744073709551615", "18446744073709551616,99999999999999999999999" }) {
        boost::beast::http::fields fields;
        fields.set("Redwingseam-Token-Usage", usage);
        auto metadata = platform::PlatformHeaderCodec::readRequest(fields);
        CHECK_TRUE_TEXT(metadata.promptTokens > 1ULL << 32 && metadata.maxOutputTokens > 1ULL << 32, usage);
    }
    boost::beast::http::fields fields;
    fields.set("Redwingseam-Token-Usage", "-1,x");
    auto metadata = platform::PlatformHeaderCodec::readRequest(fields);
    CHECK_TRUE(metadata.promptTokens == 0 && metadata.maxOutputTokens == 0);
}
