#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace redwingseam;

// Replays the return of many clients after their nodes were killed: their prompts must be found where they were read.
TEST_GROUP(PromptAffinity)
{
    static constexpr unsigned engineCount = 26;

    fakes::FleetFixture fixture;

    void setup() override
    {
        for (const char* dataCentre : { "dc-a", "dc-b" }) {
            for (unsigned i = 0; i < engineCount; ++i)
                fixture.addUpstream(std::string(dataCentre) + "-" + std::to_string(i), "engines", dataCentre);
        }
        fixture.update();
    }

    fleet::PlacementQuery query(uint64_t promptKey, uint64_t random, bool isResumption = false)
    {
        auto request = fixture.makeRequest("/stream/x");
        fleet::PlacementQuery query;
        query.service = request.service;
        query.engine = request.index->service(request.service)->engine;
        query.promptTokens = 8000;
        query.maxOutputTokens = 650;
        query.promptKey = promptKey;
        query.isResumption = isResumption;
        query.random = random;
        query.now = fixture.clock.now();
        return query;
    }
};

TEST(PromptAffinity, ReturningClientFindsItsPromptThroughAnotherNode)
{
    static constexpr unsigned streams = 20;
    std::map<uint64_t, base::UpstreamName> engineOf;
    for (uint64_t key = 1; key <= streams; ++key) {
        auto placement = fixture.fleet.place(query(key, key * 7919));
        fixture.fleet.markPrefilled(*placement);
        engineOf[key] = placement->target.id;
    }
    // The other node has booked nothing and knows nothing of these streams.
    fleet::Fleet otherNode({ "dc-a" });
    otherNode.update(fixture.instances, fixture.clock.now(), {});
    unsigned found = 0;
    for (uint64_t key = 1; key <= streams; ++key)
        found += otherNode.place(query(key, key * 104729, true))->target.id == engineOf[key];
    CHECK_TRUE_TEXT(found >= streams * 8 / 10, std::to_string(found).c_str());
}

TEST(PromptAffinity, PromptsDoNotQueueBehindEachOtherOnTheirPreferredEngine)
{
    // The same prompt twice at the same time: its engine is still reading the first one.
    auto first = fixture.fleet.place(query(1, 11));
    auto second = fixture.fleet.place(query(1, 12));
    CHECK_TRUE(first->target.id != second->target.id);
    std::map<base::UpstreamName, unsigned> prefills;
    for (uint64_t key = 2; key < 2 + engineCount / 2; ++key)
        ++prefills[fixture.fleet.place(query(key, key * 7919))->target.id];
    for (const auto& [engine, count] : prefills)
        CHECK_TRUE_TEXT(count == 1, engine.text.c_str());
}

TEST(PromptAffinity, SuspectedPreferredEngineIsAvoided)
{
    auto placement = fixture.fleet.place(query(5, 1));
    fixture.fleet.release(*placement);
    fixture.fleet.suspect(placement->target, fleet::SuspicionCause::ConnectionLost, fixture.clock.now());
    for (uint64_t random = 0; random < 20; ++random)
        CHECK_TRUE(fixture.fleet.place(query(5, random, true))->target.id != placement->target.id);
}
