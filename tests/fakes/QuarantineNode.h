#pragma once

#include "fakes/FakeClock.h"
#include "fakes/FakeQuarantineStore.h"
#include "sync/QuarantineTask.h"

namespace redwingseam::fakes {

// A gateway node in virtual time, as far as it keeps what crashes upstreams. A new one stands for a process that starts again, with
// a clock of its own; all nodes share the time of day.
struct QuarantineNode {
    struct Clock {
        const FakeClock* clock = nullptr;
        base::Instant now() const { return clock->now(); }
    };
    struct WallClock {
        const base::Duration* time = nullptr;
        uint64_t now() const { return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(*time).count()); }
    };

    static constexpr base::Duration pollInterval = std::chrono::milliseconds(250);

    QuarantineNode(FakeQuarantineStore& store, base::Duration& timeOfDay, base::Duration uptime)
        : timeOfDay(timeOfDay)
        , task(store, crashes, role, era, Clock { &clock }, WallClock { &timeOfDay })
    {
        clock.moveTo(base::Instant(uptime));
        crashes.setPosition(0, 1);
    }

    base::Instant now() const { return clock.now(); }

    bool run(base::Duration duration)
    {
        bool succeeded = true;
        for (auto end = now() + duration; now() < end;) {
            clock.moveTo(now() + pollInterval);
            timeOfDay += pollInterval;
            succeeded = task.poll();
        }
        return succeeded;
    }

    // Crashes of upstreams that ran the request one after the other.
    void crash(base::Fingerprint request, unsigned count = 1)
    {
        for (unsigned i = 0; i < count; ++i) {
            run(std::chrono::milliseconds(500));
            crashes.requests.recordCrash({ request, now() - std::chrono::milliseconds(10), now() });
        }
    }

    void crash(base::PromptPartHash part, const std::string& upstream)
    {
        run(std::chrono::milliseconds(500));
        forward::PartCrash crash;
        crash.fingerprint.value = ++m_requests;
        crash.upstream.text = upstream;
        crash.parts = { part };
        crash.sentAt = now() - std::chrono::milliseconds(10);
        crash.lostAt = now();
        crashes.parts.recordCrash(crash, now());
    }

    base::Duration& timeOfDay;
    FakeClock clock;
    forward::CrashEvidence crashes;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::QuarantineTask<FakeQuarantineStore, Clock, WallClock> task;

private:
    uint64_t m_requests = 0;
};

} // namespace redwingseam::fakes
