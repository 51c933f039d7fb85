#pragma once

#include "base/WallClock.h"
#include "fleet/Fleet.h"
#include "log/LogLine.h"
#include "manifest/ManifestHolder.h"
#include "origin/StreamOrigins.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/OriginStore.h"
#include "sync/ResumableServices.h"
#include "sync/StatedVersions.h"
#include "sync/StoreEra.h"
#include "sync/UpstreamListCache.h"

#include <algorithm>
#include <glog/logging.h>
#include <optional>
#include <utility>
#include <vector>

namespace redwingseam::sync {

// Records in the store where this node's streams began while their service has several software versions, and reads the
// records of other nodes when a client takes up a stream that this node doesn't know. The leader states which services have
// one version only, so that a node that starts knows when a stream needs no record.
template<OriginStore Client, typename Clock = base::BootClock, typename WallClock = base::WallClock>
class OriginsTask {
public:
    OriginsTask(Client& client, const manifest::ManifestHolder& manifest, fleet::Fleet& fleet, origin::StreamOrigins& origins, const UpstreamListCache& upstreamCache, const NodeRole& role, StoreEra& era, base::VmName self, Clock clock = {}, WallClock wallClock = {})
        : m_store(client)
        , m_manifest(manifest)
        , m_fleet(fleet)
        , m_origins(origins)
        , m_upstreamCache(upstreamCache)
        , m_role(role)
        , m_era(era)
        , m_clock(std::move(clock))
        , m_wallClock(std::move(wallClock))
        , m_records { std::move(self) }
        , m_stated(fleet, origins)
    {
    }

    // Returns true. Failed calls are repeated with pauses of this task's own, since records are lost with the node.
    bool poll()
    {
        auto now = m_clock.now();
        observeList(now);
        auto index = m_manifest.state().index;
        if (!index || (now < m_retryAt && !isRestoredSinceLastCall()))
            return true;
        m_routeLifetime = streamLifetime(index->manifest());
        setLifetime();
        m_lastCallEra = m_era.current();
        auto error = synchronise(index->manifest(), now);
        recordResult(error, now);
        return true;
    }

private:
    // Clients count their time from their first attempt, and a node from when it sent the stream.
    static constexpr double lifetimeMargin = 1.5;
    static constexpr base::Duration minLifetime = std::chrono::seconds(10);
    static constexpr base::Duration minRetryPause = std::chrono::milliseconds(200);
    static constexpr base::Duration maxRetryPause = std::chrono::seconds(2);
    // A list that is older than this, as after a pause of the process, is no basis for a statement.
    static constexpr base::Duration maxListAge = std::chrono::seconds(2);

    static base::Duration streamLifetime(const manifest::Manifest& manifest)
    {
        base::Duration longest {};
        for (const auto& route : manifest.routes) {
            if (hasTakeUps(route))
                longest = std::max(longest, route.timeout);
        }
        return std::max(minLifetime, withMargin(longest));
    }

    void setLifetime()
    {
        m_lifetime = std::max(m_routeLifetime, withMargin(clientTime()));
        m_origins.setLifetime(m_lifetime);
    }

    static base::Duration withMargin(base::Duration clientTime) { return std::chrono::duration_cast<base::Duration>(clientTime * lifetimeMargin); }

    // Returns how long clients will wait for streams, as far as they have told this node or an earlier leader. They may wait
    // for longer than the route's timeout, over several attempts.
    base::Duration clientTime() const { return std::max(m_origins.longestClientTime(), m_stated.statement().longestClientTime); }

    // The fleet receives a list a moment after the cache, so only the version of the poll before is surely in force.
    void observeList(base::Instant now)
    {
        if (m_startedAt == base::Instant {})
            m_startedAt = now;
        m_earlierList = m_observedList;
        if (auto snapshot = m_upstreamCache.snapshot())
            m_observedList = snapshot->list->version;
    }

    // Whoever learned of the restore has read the store, which answers again and lacks records.
    bool isRestoredSinceLastCall() const { return m_era.current() != m_lastCallEra; }

    base::Error synchronise(const manifest::Manifest& manifest, base::Instant now)
    {
        if (m_era.current() != m_usedEra)
            handleRestore();
        if (m_mustRead || m_origins.lookups().isStoreNeeded()) {
            if (auto error = read(now); error.code != base::ResultCode::Ok)
                return error;
        }
        if (auto error = writeRecords(manifest, now); error.code != base::ResultCode::Ok)
            return error;
        if (m_role.isLeader())
            return writeStatement(manifest, now);
        m_stated.loseTrack();
        return {};
    }

    // The store may have lost what it acknowledged, and other nodes' writes.
    void handleRestore()
    {
        m_usedEra = m_era.current();
        m_mustRead = true;
        m_mustWriteCoverage = true;
        m_origins.records().markAllUnwritten();
    }

    base::Error read(base::Instant now)
    {
        auto stored = m_store.readOrigins();
        if (!stored)
            return stored.error();
        auto& origins = stored.value();
        if (!m_era.learn(origins.era, m_clock.now()))
            return { base::ResultCode::PlatformUnavailable, "response of an earlier era" };
        m_records.revision = 0;
        std::vector<origin::StreamRecord> all;
        for (const auto& node : origins.nodes) {
            all.insert(all.end(), node.streams.begin(), node.streams.end());
            if (node.node != m_records.node)
                continue;
            m_records.revision = node.revision;
            if (m_knownEra)
                continue;
            m_records.coverage = node.coverage;
            // Records of an earlier process of this node, which this one's writes would replace.
            for (const auto& record : node.streams)
                m_origins.records().learn(record, true, now);
        }
        if (!m_knownEra)
            m_records.coverage.beginGap();
        m_stated.learn(origins, m_role.isLeader());
        setLifetime();
        m_stated.publish(origins.era, oldestStatedTime(), m_wallClock.now());
        m_origins.unrecordedTimes().setStored(origins.nodes, now, m_wallClock.now());
        if (m_knownEra != origins.era)
            m_stated.applyVersions(origins.era, now);
        m_knownEra = origins.era;
        m_usedEra = m_era.current();
        m_mustRead = false;
        m_origins.setHistoryKnown();
        m_origins.lookups().answerFromStore(all, now);
        return {};
    }

    // Another leader, or an earlier call of which no response came, was first. The next poll reads the object.
    static base::Error errorUnlessConflict(const base::Error& error) { return error.code == base::ResultCode::PlatformConflict ? base::Error {} : error; }

    // The earlier process of this node had no list newer than one that was read from the store after this process started.
    void endGaps()
    {
        if (!m_knownEra || m_fleet.listedAt() < m_startedAt)
            return;
        if (m_records.coverage.endGaps(m_observedList, m_wallClock.now())) {
            m_mustWriteCoverage = true;
            m_origins.unrecordedTimes().setKeptSince(m_records.node, m_observedList);
        }
        m_records.coverage.removeOlderThan(oldestStatedTime());
    }

    // A list that has not been confirmed for a while may be that of before a pause of the process.
    bool hasSeveralVersions(const manifest::Manifest& manifest, base::Instant now) const
    {
        auto services = servicesWithTakeUps(manifest);
        bool isFresh = now - m_fleet.listedAt() <= maxListAge;
        return isFresh && std::any_of(services.begin(), services.end(), [&](const auto& service) { return m_origins.versionsOf(service, now).size() > 1; });
    }

    std::vector<fleet::VersionWeights> weightsOf(const manifest::Manifest& manifest) const
    {
        std::vector<fleet::VersionWeights> weights;
        for (const auto& service : servicesWithTakeUps(manifest))
            weights.push_back(m_fleet.versionWeights(service));
        return weights;
    }

    static bool areSimilar(const std::vector<fleet::VersionWeights>& some, const std::vector<fleet::VersionWeights>& others)
    {
        return std::equal(some.begin(), some.end(), others.begin(), others.end(), [](const auto& one, const auto& other) { return one.isSimilar(other); });
    }

    // A gap that begins here is not to reach back to other numbers than those of its time, also if this node begins no stream for long.
    base::Error writeRecords(const manifest::Manifest& manifest, base::Instant now)
    {
        endGaps();
        auto earlierWeights = std::exchange(m_weights, weightsOf(manifest));
        bool isNew = m_mustWriteCoverage || !areSimilar(m_weights, m_writtenWeights);
        bool mustWriteCoverage = isNew && hasSeveralVersions(manifest, now);
        m_records.streams = m_origins.takeUnwritten(now, mustWriteCoverage);
        if (m_records.streams.empty() && !mustWriteCoverage)
            return {};
        m_records.coverage.writtenThrough = m_earlierList;
        auto revision = m_store.writeRecords(m_records);
        // The outcome of a failed call is not known, and neither is the revision.
        m_mustRead = !revision;
        if (!revision)
            return errorUnlessConflict(revision.error());
        m_records.revision = revision.value();
        m_mustWriteCoverage = false;
        m_writtenWeights = std::move(earlierWeights);
        m_origins.records().markWritten(m_records.streams);
        return {};
    }

    base::Error writeStatement(const manifest::Manifest& manifest, base::Instant now)
    {
        if (now - m_fleet.listedAt() > maxListAge)
            return {};
        auto statement = m_stated.next({ m_era.current().value_or(0), m_observedList, oldestStatedTime(), now, m_wallClock.now() }, servicesWithTakeUps(manifest));
        bool isTimeNew = withMargin(clientTime()) > m_routeLifetime && clientTime() > m_stated.statement().longestClientTime;
        if (isTimeNew)
            statement.longestClientTime = clientTime();
        bool isNew = isTimeNew || statement != m_stated.statement();
        if (!isNew || statement.services.empty()) {
            m_stated.confirm(m_earlierList);
            return {};
        }
        auto revision = m_store.writeStatement(statement);
        m_mustRead = !revision;
        if (!revision)
            return errorUnlessConflict(revision.error());
        statement.revision = revision.value();
        m_stated.replace(std::move(statement), m_earlierList);
        return {};
    }

    // Streams that began before, by the clocks of the nodes, are not taken up any more.
    uint64_t oldestStatedTime() const { return m_wallClock.now() - static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_lifetime).count()); }

    void recordResult(const base::Error& error, base::Instant now)
    {
        bool isFailed = error.code != base::ResultCode::Ok;
        if (isFailed && m_retryPause == base::Duration {})
            LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.origins").with("detail", error.detail).text();
        if (!isFailed && m_retryPause != base::Duration {})
            LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.origins").text();
        m_retryPause = isFailed ? std::clamp(m_retryPause * 2, minRetryPause, maxRetryPause) : base::Duration {};
        m_retryAt = now + m_retryPause;
    }

    Client& m_store;
    const manifest::ManifestHolder& m_manifest;
    fleet::Fleet& m_fleet;
    origin::StreamOrigins& m_origins;
    const UpstreamListCache& m_upstreamCache;
    const NodeRole& m_role;
    StoreEra& m_era;
    Clock m_clock;
    WallClock m_wallClock;
    // What this node writes, with the revision of its object in the store.
    origin::NodeRecords m_records;
    StatedVersions m_stated;
    // How long streams live by the timeouts of their routes, and by what clients have stated.
    base::Duration m_routeLifetime {};
    base::Duration m_lifetime {};
    base::Instant m_startedAt {};
    // The versions of the list of upstreams at the last poll and at the one before.
    StoreVersion m_observedList;
    StoreVersion m_earlierList;
    bool m_mustWriteCoverage = true;
    // The numbers of upstreams by service, at the last poll and at a list through which the written records are complete.
    std::vector<fleet::VersionWeights> m_weights;
    std::vector<fleet::VersionWeights> m_writtenWeights;
    // The era in which this task last read the store, and the one in which its records and revisions hold.
    std::optional<uint64_t> m_knownEra;
    std::optional<uint64_t> m_usedEra;
    bool m_mustRead = true;
    // The era that was known when the last call began.
    std::optional<uint64_t> m_lastCallEra;
    base::Duration m_retryPause {};
    base::Instant m_retryAt {};
};

} // namespace redwingseam::sync
