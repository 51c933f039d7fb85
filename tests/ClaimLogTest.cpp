#include "claim/DefaultClaimRules.h"
#include "claim/ShardedClaimLog.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

// What happens to a writer's call. The values 2 and 3 stand for no fault.
enum class StoreFault : uint8_t {
    LoseReply = 0,
    DelayWrite = 1,
    DeliverDelayedWrite = 4,
};

// Runs several writers on one log whose store loses replies and delays writes. Returns the holders that were
// allowed to dispatch each key.
std::map<std::string, std::set<uint64_t>> runWriters(const std::vector<uint16_t>& words)
{
    static constexpr size_t writers = 3;
    std::array<claim::ClaimLog, writers> logs;
    std::map<uint64_t, claim::ClaimBatch> store;
    std::vector<std::pair<uint64_t, claim::ClaimBatch>> delayed;
    std::map<std::string, std::set<uint64_t>> granted;
    uint64_t holder = 1;
    auto create = [&](uint64_t number, const claim::ClaimBatch& batch) { return store.try_emplace(number, batch).second; };
    for (auto word : words) {
        auto& log = logs[word % writers];
        auto fault = static_cast<StoreFault>((word / writers) % 5);
        if (fault == StoreFault::DeliverDelayedWrite && !delayed.empty()) {
            // A write whose reply was lost arrives only now.
            create(delayed.front().first, delayed.front().second);
            delayed.erase(delayed.begin());
        }
        log.enqueue({ claim::RecordKind::Claimed, { "key-" + std::to_string((word / 15) % 4) }, holder++, {} });
        auto call = log.nextCall();
        if (call.kind == claim::LogCallKind::ReadCheckpoint) {
            log.onCheckpoint(std::nullopt);
        } else if (fault == StoreFault::LoseReply) {
            if (call.kind == claim::LogCallKind::Create)
                create(call.number, call.batch);
            log.onOutcomeUnknown();
        } else if (fault == StoreFault::DelayWrite) {
            if (call.kind == claim::LogCallKind::Create)
                delayed.emplace_back(call.number, call.batch);
            log.onOutcomeUnknown();
        } else if (call.kind == claim::LogCallKind::Read) {
            auto found = store.find(call.number);
            log.onRead(found == store.end() ? std::nullopt : std::optional(found->second));
        } else if (call.kind == claim::LogCallKind::Create) {
            if (create(call.number, call.batch))
                log.onCreated();
            else
                log.onConflict();
        }
        for (const auto& record : log.takeApplied()) {
            const auto* state = log.find(record.key);
            if (state && claim::DefaultClaimRules::isGranted({ state->kind, record.key, state->holder, state->response }, record.holder))
                granted[record.key.text].insert(record.holder);
        }
    }
    return granted;
}

} // namespace

TEST_GROUP(ClaimLog) {};

TEST(ClaimLog, LostRepliesAndLateWritesGrantOneHolderPerKey)
{
    CHECK_PROPERTY("lost replies and late writes", [](const std::vector<uint16_t>& words) {
        for (const auto& [key, holders] : runWriters(words))
            RC_ASSERT(holders.size() == 1U);
    });
}

TEST(ClaimLog, AbandonedKeyCanBeClaimedAgain)
{
    claim::ClaimLog log;
    log.enqueue({ claim::RecordKind::Claimed, { "k" }, 1, {} });
    log.enqueue({ claim::RecordKind::Abandoned, { "k" }, 1, {} });
    log.enqueue({ claim::RecordKind::Claimed, { "k" }, 2, {} });
    log.nextCall();
    log.onCheckpoint(std::nullopt);
    log.nextCall();
    log.onRead(std::nullopt);
    log.nextCall();
    log.onCreated();
    LONGS_EQUAL(2, log.find({ "k" })->holder);
}

TEST(ClaimLog, KeysExpireAfterADayAndNotEarlier)
{
    claim::ShardedClaimLog log;
    base::IdempotencyKey key { "k" };
    auto group = claim::ShardedClaimLog::groupOf(key);
    base::Instant start { 1h };
    log.append({ claim::RecordKind::Claimed, key, 1, {} }, {});
    log.poll(group, start);
    log.onCheckpoint(group, store::CallOutcome::Absent, {}, std::nullopt, start, 0);
    log.poll(group, start);
    log.onRead(group, store::CallOutcome::Absent, std::nullopt, start, 0);
    log.poll(group, start);
    log.onCreated(group, store::CallOutcome::Done, start, 0);
    log.append({ claim::RecordKind::Finished, key, 1, { 200, "done" } }, {});
    log.poll(group, start + 1s);
    log.onCreated(group, store::CallOutcome::Done, start + 1s, 0);
    for (auto time = start + 10min; time <= start + 23h; time += 10min)
        log.poll(group, time);
    CHECK_TRUE(log.awaitOutcome(key, { 1 }, start + 48h).has_value());
    for (auto time = start + 23h; time <= start + 25h; time += 10min)
        log.poll(group, time);
    CHECK_FALSE(log.awaitOutcome(key, { 1 }, start + 48h).has_value());
}
