#include "membership/FactStoreImpl.h"

#include "PropertyCheck.h"
#include "redwingseam/membership/FactFactory.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using membership::Fact;

namespace {

// Mutation: whatever comes last holds.
struct LastOneHolds {
    static bool replaces(const Fact&, const Fact&) { return true; }
};

std::vector<Fact> makeFacts(const std::vector<uint16_t>& words)
{
    std::vector<Fact> facts;
    for (auto word : words) {
        route::UpstreamRecord record;
        record.name.text = "up-" + std::to_string(word % 3);
        record.incarnation = (word / 3) % 4;
        record.state = static_cast<route::UpstreamState>((word / 12) % 3);
        record.slots = 1 + (word / 36) % 2;
        facts.push_back(membership::makeFact(record));
    }
    return facts;
}

template<typename Policy>
std::vector<Fact> mergeAll(const std::vector<Fact>& facts)
{
    membership::FactStore<Policy> store;
    for (const auto& fact : facts)
        store.merge(fact);
    auto all = store.all(membership::FactKind::Upstream);
    std::sort(all.begin(), all.end());
    return all;
}

// Whether any order and repetition of the same facts gives the same store.
template<typename Policy>
bool isOrderFree(const std::vector<uint16_t>& words)
{
    auto facts = makeFacts(words);
    auto forwards = mergeAll<Policy>(facts);
    auto reversed = facts;
    std::reverse(reversed.begin(), reversed.end());
    auto repeated = facts;
    repeated.insert(repeated.end(), facts.begin(), facts.begin() + static_cast<ptrdiff_t>(facts.size() / 2));
    return forwards == mergeAll<Policy>(reversed) && forwards == mergeAll<Policy>(repeated);
}

} // namespace

TEST_GROUP(FactStore) {};

TEST(FactStore, MergingIsCommutativeAssociativeAndIdempotent)
{
    CHECK_PROPERTY("order and repetition of facts make no difference", [](const std::vector<uint16_t>& words) {
        RC_ASSERT(isOrderFree<membership::OverridePolicy>(words));
    });
}

TEST(FactStore, PropertyNoticesLastWriteWins)
{
    CHECK_FALSE(isOrderFree<LastOneHolds>({ 0, 12 }));
    CHECK_TRUE(isOrderFree<membership::OverridePolicy>({ 0, 12 }));
}

TEST(FactStore, LeavingUpstreamComesBackOnlyWithNewIncarnation)
{
    membership::FactStore<> store;
    route::UpstreamRecord record;
    record.name.text = "up";
    record.incarnation = 5;
    record.state = route::UpstreamState::Leaving;
    CHECK_TRUE(store.merge(membership::makeFact(record)));
    record.state = route::UpstreamState::Live;
    CHECK_FALSE(store.merge(membership::makeFact(record)));
    record.incarnation = 6;
    CHECK_TRUE(store.merge(membership::makeFact(record)));
}

TEST(FactStore, EqualHashesMeanEqualFacts)
{
    CHECK_PROPERTY("stores with the same facts have the same hashes", [](const std::vector<uint16_t>& words) {
        membership::FactStore<> forwards;
        membership::FactStore<> backwards;
        auto facts = makeFacts(words);
        for (size_t i = 0; i < facts.size(); ++i) {
            forwards.merge(facts[i]);
            backwards.merge(facts[facts.size() - 1 - i]);
        }
        RC_ASSERT(forwards.hashes() == backwards.hashes());
    });
}
