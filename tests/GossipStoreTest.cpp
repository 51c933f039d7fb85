#include "membership/GossipStoreImpl.h"

#include "PropertyCheck.h"
#include "redwingseam/membership/GossipEntryFactory.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using membership::GossipEntry;

namespace {

// Faulty rules: the last write wins.
struct LastWriteWins {
    static bool replaces(const GossipEntry&, const GossipEntry&) { return true; }
};

std::vector<GossipEntry> makeGossipEntries(const std::vector<uint16_t>& words)
{
    std::vector<GossipEntry> entries;
    for (auto word : words) {
        route::UpstreamRecord record;
        record.name.text = "up-" + std::to_string(word % 3);
        record.incarnation = (word / 3) % 4;
        record.state = static_cast<route::UpstreamState>((word / 12) % 3);
        record.slots = 1 + (word / 36) % 2;
        entries.push_back(membership::makeGossipEntry(record));
    }
    return entries;
}

template<typename Rules>
std::vector<GossipEntry> mergeAll(const std::vector<GossipEntry>& entries)
{
    membership::GossipStore<Rules> store;
    for (const auto& entry : entries)
        store.merge(entry);
    auto all = store.all(membership::GossipKind::Upstream);
    std::sort(all.begin(), all.end());
    return all;
}

// Returns whether any order and repetition of the same entries yields the same store.
template<typename Rules>
bool isOrderIndependent(const std::vector<uint16_t>& words)
{
    auto entries = makeGossipEntries(words);
    auto forwards = mergeAll<Rules>(entries);
    auto reversed = entries;
    std::reverse(reversed.begin(), reversed.end());
    auto repeated = entries;
    repeated.insert(repeated.end(), entries.begin(), entries.begin() + static_cast<ptrdiff_t>(entries.size() / 2));
    return forwards == mergeAll<Rules>(reversed) && forwards == mergeAll<Rules>(repeated);
}

} // namespace

TEST_GROUP(GossipStore) {};

TEST(GossipStore, MergingIsCommutativeAssociativeAndIdempotent)
{
    CHECK_PROPERTY("order and repetition of entries make no difference", [](const std::vector<uint16_t>& words) {
        RC_ASSERT(isOrderIndependent<membership::DefaultOverrideRules>(words));
    });
}

TEST(GossipStore, DetectsLastWriteWins)
{
    CHECK_FALSE(isOrderIndependent<LastWriteWins>({ 0, 12 }));
    CHECK_TRUE(isOrderIndependent<membership::DefaultOverrideRules>({ 0, 12 }));
}

TEST(GossipStore, LeavingUpstreamComesBackOnlyWithNewIncarnation)
{
    membership::GossipStore<> store;
    route::UpstreamRecord record;
    record.name.text = "up";
    record.incarnation = 5;
    record.state = route::UpstreamState::Leaving;
    CHECK_TRUE(store.merge(membership::makeGossipEntry(record)));
    record.state = route::UpstreamState::Live;
    CHECK_FALSE(store.merge(membership::makeGossipEntry(record)));
    record.incarnation = 6;
    CHECK_TRUE(store.merge(membership::makeGossipEntry(record)));
}

TEST(GossipStore, EqualEntriesHaveEqualHashes)
{
    CHECK_PROPERTY("stores with the same entries have the same hashes", [](const std::vector<uint16_t>& words) {
        membership::GossipStore<> forwards;
        membership::GossipStore<> backwards;
        auto entries = makeGossipEntries(words);
        for (size_t i = 0; i < entries.size(); ++i) {
            forwards.merge(entries[i]);
            backwards.merge(entries[entries.size() - 1 - i]);
        }
        RC_ASSERT(forwards.hashes() == backwards.hashes());
    });
}
