#pragma once

#include "fakes/FakeOriginStore.h"
#include "fakes/FleetFixture.h"
#include "sync/OriginsTask.h"

namespace redwingseam::fakes {

// A gateway node in virtual time, as far as it keeps where streams began. A new one stands for a node that starts again.
struct OriginNode {
    // Returns the time of a fixture's clock.
    struct Clock {
        const FakeClock* clock = nullptr;
        base::Instant now() const { return clock->now(); }
    };

    // The time of day follows the same clock.
    struct WallClock {
        const FakeClock* clock = nullptr;
        uint64_t now() const { return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(clock->now().time_since_epoch()).count()); }
    };

    static constexpr base::Duration pollInterval = std::chrono::milliseconds(100);

    OriginNode(FakeOriginStore& store, const std::string& name, base::Instant startedAt = base::Instant(std::chrono::seconds(1000)))
        : name { name }
        , origins(fleet)
        , task(store, manifest, fleet, origins, upstreamCache, role, era, { name }, Clock { &clock }, WallClock { &clock })
    {
        clock.moveTo(startedAt);
        manifest.update(FleetFixture::makeManifest(), {}, clock.now());
        role.setLeader(false);
    }

    // Replaces the list of upstreams by one upstream of each version.
    void list(const std::vector<std::string>& versions)
    {
        listed.clear();
        for (const auto& version : versions)
            listed.push_back({ { "e-" + version }, { "engines" }, "127.0.0.1:" + std::to_string(8000 + listed.size()), { "dc-a" }, 1, 6, false, { version } });
        receiveList();
    }

    void send(const std::string& attempt, const std::string& version) { origins.recordSent({ attempt }, { { "engines" }, { version } }, clock.now()); }

    // Polls, and keeps the list fresh unless the node is out of step, until `duration` has passed.
    void run(base::Duration duration)
    {
        for (auto end = clock.now() + duration; clock.now() < end; clock.moveTo(clock.now() + pollInterval)) {
            if (!isOutOfStep)
                receiveList();
            task.poll();
        }
    }

    // Returns an attempt that the list assigns to the version.
    std::string attemptAssignedTo(const std::string& version)
    {
        for (unsigned i = 0;; ++i) {
            auto attempt = "s" + std::to_string(i);
            if (fleet.assignedVersion({ "engines" }, { attempt }).text == version)
                return attempt;
        }
    }

    // Resolves a take-up that arrives now, or has arrived before.
    origin::Resolution resolve(const std::string& attempt) { return resolve(attempt, clock.now()); }
    origin::Resolution resolve(const std::string& attempt, base::Instant arrivedAt) { return origins.resolve({ { attempt }, { "engines" }, arrivedAt }, clock.now()); }
    // Returns the final answer, and counts the time in which the store and the other nodes are asked. `askPeers` gets the
    // questions to the other nodes.
    template<typename AskPeers>
    origin::Resolution resolveAtLast(const std::string& attempt, AskPeers&& askPeers)
    {
        auto arrivedAt = clock.now();
        auto resolution = resolve(attempt, arrivedAt);
        while (resolution.kind == origin::ResolutionKind::Pending) {
            run(pollInterval);
            askPeers(origins.lookups().takeQuestions(clock.now()));
            resolution = resolve(attempt, arrivedAt);
        }
        return resolution;
    }
    origin::Resolution resolveAtLast(const std::string& attempt)
    {
        return resolveAtLast(attempt, [](const auto&) {});
    }

    // The store's revision follows the time.
    void receiveList()
    {
        sync::StoreVersion version { era.current().value_or(1), WallClock { &clock }.now() };
        upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { version, listed }), clock.now(), {} });
        fleet.update(listed, clock.now(), {});
    }

    // The same with the others asked. Those that are gone are known, but don't reply.
    origin::Resolution resolveWith(const std::string& attempt, const std::vector<OriginNode*>& others, const std::vector<base::VmName>& gone = {})
    {
        return resolveAtLast(attempt, [&](const std::vector<base::ClientAttemptId>& questions) {
            auto asked = gone;
            for (auto* other : others)
                asked.push_back(other->name);
            origins.lookups().recordAsked(questions, asked);
            for (auto* other : others)
                ask(*other, questions);
        });
    }
    void ask(OriginNode& other, const std::vector<base::ClientAttemptId>& questions)
    {
        auto found = other.origins.find(questions);
        origins.lookups().answerFromPeer(found);
        auto keptSince = other.origins.unrecordedTimes().keptSince();
        if (found.empty() && keptSince)
            origins.lookups().recordDisclaimer(questions, { other.name, *keptSince });
    }

    // No confirmation of the list reaches the node.
    bool isOutOfStep = false;
    base::VmName name;
    FakeClock clock;
    fleet::Fleet fleet { { "dc-a" } };
    origin::StreamOrigins origins;
    manifest::ManifestHolder manifest;
    sync::UpstreamListCache upstreamCache;
    sync::NodeRole role;
    sync::StoreEra era;
    std::vector<fleet::UpstreamInstance> listed;
    sync::OriginsTask<FakeOriginStore, Clock, WallClock> task;
};

} // namespace redwingseam::fakes
