#pragma once

#include "base/WallClock.h"
#include "forward/CrashEvidence.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/OutageTracker.h"
#include "sync/QuarantineStore.h"
#include "sync/StoreEra.h"

#include <glog/logging.h>
#include <optional>

namespace redwingseam::sync {

// Keeps in the store what crashes upstreams, so that it outlives a loss of all nodes at once. The leader reads it when it becomes
// the leader, which a node is at its start until it knows others, and writes it when it has changed. The other nodes know it from
// their peers.
template<QuarantineStore Client, typename Clock = base::BootClock, typename WallClock = base::WallClock>
class QuarantineTask {
public:
    QuarantineTask(Client& client, forward::CrashEvidence& crashes, const NodeRole& role, StoreEra& era, Clock clock = {}, WallClock wallClock = {})
        : m_store(client)
        , m_crashes(crashes)
        , m_role(role)
        , m_era(era)
        , m_clock(std::move(clock))
        , m_wallClock(std::move(wallClock))
    {
    }

    // Returns false if a call to the store failed.
    bool poll()
    {
        if (!m_role.isLeader()) {
            // Another leader may write meanwhile.
            m_mustRead = true;
            return true;
        }
        auto error = synchronise();
        bool isFailed = error.code != base::ResultCode::Ok;
        if (m_outages.recordResult(!isFailed, m_clock.now())) {
            if (isFailed)
                LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.quarantine").with("detail", error.detail).text();
            else
                LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.quarantine").text();
        }
        return !isFailed;
    }

private:
    base::Error synchronise()
    {
        // A restored store may hold older evidence, or none.
        if (m_mustRead || m_era.current() != m_readIn) {
            if (auto error = read(); error.code != base::ResultCode::Ok)
                return error;
        }
        return writeIfChanged();
    }

    ClockReading reading() const { return { m_clock.now(), m_wallClock.now() }; }

    base::Error read()
    {
        auto stored = m_store.readQuarantine(reading());
        if (!stored)
            return stored.error();
        if (!m_era.learn(stored.value().era, m_clock.now()))
            return { base::ResultCode::PlatformUnavailable, "response of an earlier era" };
        m_stored = std::move(stored.value());
        m_crashes.applyLasting(m_stored.evidence, m_clock.now());
        m_readIn = m_stored.era;
        m_mustRead = false;
        return {};
    }

    base::Error writeIfChanged()
    {
        auto now = m_clock.now();
        if (now - m_writtenAt < minWriteInterval)
            return {};
        auto evidence = m_crashes.lasting(now);
        if (evidence.isSimilar(m_stored.evidence))
            return {};
        auto revision = m_store.writeQuarantine({ m_stored.era, m_stored.revision, evidence }, reading());
        // The outcome of a failed call is not known, and neither is the revision.
        m_mustRead = !revision;
        if (!revision)
            return revision.error().code == base::ResultCode::PlatformConflict ? base::Error {} : revision.error();
        LOG(INFO) << log::LogLine("quarantine_written").with("requests", evidence.requests.size()).with("part_crashes", evidence.parts.crashes.size()).with("revision", revision.value()).text();
        m_stored.revision = revision.value();
        m_stored.evidence = std::move(evidence);
        m_writtenAt = now;
        return {};
    }

    // Bounds the load on the store while many upstreams crash.
    static constexpr base::Duration minWriteInterval = std::chrono::milliseconds(500);

    Client& m_store;
    forward::CrashEvidence& m_crashes;
    const NodeRole& m_role;
    StoreEra& m_era;
    Clock m_clock;
    WallClock m_wallClock;
    OutageTracker m_outages;
    // What the store held at the last call, as far as this node knows.
    StoredQuarantine m_stored;
    std::optional<uint64_t> m_readIn;
    bool m_mustRead = true;
    base::Instant m_writtenAt {};
};

} // namespace redwingseam::sync
