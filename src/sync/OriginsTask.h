#pragma once

#include "base/WallClock.h"
#include "fleet/Fleet.h"
#include "log/LogLine.h"
#include "manifest/ManifestHolder.h"
#include "origin/StreamOrigins.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/OriginStore.h"
#include "sync/StoreEra.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>
#include <optional>
#include <set>

namespace redwingseam::sync {

// Records in the store where this node's streams began while their service has several software versions, and reads the
// records of other nodes when a client takes up a stream that this node doesn't know. The leader states which services have
// one version only, so that a node that starts knows when a stream needs no record.
template<OriginStore Client, typename Clock = base::BootClock, typename WallClock = base::WallClock>
class OriginsTask {
public:
    OriginsTask(Client& client, const manifest::ManifestHolder& manifest, fleet::Fleet& fleet, origin::StreamOrigins& origins, const NodeRole& role, StoreEra& era, base::VmName self, Clock clock = {}, WallClock wallClock = {})
        : m_store(client)
        , m_manifest(manifest)
        , m_fleet(fleet)
        , m_origins(origins)
        , m_role(role)
        , m_era(era)
        , m_clock(std::move(clock))
        , m_wallClock(std::move(wallClock))
        , m_records { std::move(self) }
    {
    }

    // Returns true. Failed calls are repeated with pauses of this task's own, since records are lost with the node.
    bool poll()
    {
        auto now = m_clock.now();
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

    static bool hasTakeUps(const manifest::Route& route) { return route.kind == manifest::RouteKind::Stream && route.isResumable; }

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
    base::Duration clientTime() const { return std::max(m_origins.longestClientTime(), m_statement.longestClientTime); }

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
        if (auto error = writeRecords(now); error.code != base::ResultCode::Ok)
            return error;
        return m_role.isLeader() ? writeStatement(manifest, now) : base::Error {};
    }

    // The store may have lost what it acknowledged, and other nodes' writes.
    void handleRestore()
    {
        m_usedEra = m_era.current();
        m_mustRead = true;
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
            // Records of an earlier process of this node, which this one's writes would replace.
            for (const auto& record : node.streams)
                m_origins.records().learn(record, true, now);
        }
        m_statement = origins.statement;
        setLifetime();
        for (auto& item : m_statement.services)
            item.second.removeOlderThan(oldestStatedTime());
        m_origins.setStated(reliableStatement(origins.era));
        if (m_knownEra != origins.era)
            applyStatement(origins.era, now);
        m_knownEra = origins.era;
        m_usedEra = m_era.current();
        m_mustRead = false;
        m_origins.setHistoryKnown();
        m_origins.lookups().answerFromStore(all, now);
        return {};
    }

    // Versions that have left, or that a restored store no longer tells of, may have begun streams that are taken up now.
    void applyStatement(uint64_t era, base::Instant now)
    {
        for (const auto& [service, stated] : m_statement.services) {
            for (const auto& version : stated.versions())
                m_fleet.recordVersion(service, version, now);
            auto listed = m_fleet.versionsSince(service, now);
            bool isDoubtful = m_statement.era != era && listed.size() != 1;
            if (isDoubtful)
                m_fleet.recordVersion(service, {}, now);
        }
    }

    // Another leader, or an earlier call of which no response came, was first. The next poll reads the object.
    static base::Error errorUnlessConflict(const base::Error& error) { return error.code == base::ResultCode::PlatformConflict ? base::Error {} : error; }

    // Returns what may be relied on to assign streams. What was stated before a restore may lack versions, and so may the list
    // for a while after.
    std::map<base::ServiceName, origin::WeightHistory> reliableStatement(uint64_t era) const
    {
        std::map<base::ServiceName, origin::WeightHistory> reliable;
        if (m_statement.era != era)
            return reliable;
        for (const auto& [service, history] : m_statement.services) {
            if (history.isSettled(m_wallClock.now()))
                reliable.emplace(service, history);
        }
        return reliable;
    }

    base::Error writeRecords(base::Instant now)
    {
        m_records.streams = m_origins.takeUnwritten(now);
        if (m_records.streams.empty())
            return {};
        auto revision = m_store.writeRecords(m_records);
        // The outcome of a failed call is not known, and neither is the revision.
        m_mustRead = !revision;
        if (!revision)
            return errorUnlessConflict(revision.error());
        m_records.revision = revision.value();
        m_origins.records().markWritten(m_records.streams);
        return {};
    }

    base::Error writeStatement(const manifest::Manifest& manifest, base::Instant now)
    {
        if (now - m_fleet.listedAt() > maxListAge)
            return {};
        auto statement = m_statement;
        statement.era = m_era.current().value_or(0);
        bool hasChanged = recordWeights(statement, manifest, now);
        if (withMargin(clientTime()) > m_routeLifetime && clientTime() > statement.longestClientTime) {
            statement.longestClientTime = clientTime();
            hasChanged = true;
        }
        if (statement.services.empty() || (!hasChanged && statement.era == m_statement.era))
            return {};
        auto revision = m_store.writeStatement(statement);
        m_mustRead = !revision;
        if (!revision)
            return errorUnlessConflict(revision.error());
        statement.revision = revision.value();
        m_statement = std::move(statement);
        logStatement();
        return {};
    }

    // Returns whether the numbers of upstreams, or the versions at which streams may have begun, are other than those stated.
    bool recordWeights(origin::VersionStatement& statement, const manifest::Manifest& manifest, base::Instant now)
    {
        auto services = servicesWithTakeUps(manifest);
        bool hasChanged = std::erase_if(statement.services, [&](const auto& item) { return !services.contains(item.first); }) > 0;
        for (const auto& service : services) {
            auto versions = m_origins.versionsOf(service, now);
            bool hasUnknown = std::find(versions.begin(), versions.end(), base::SoftwareVersion {}) != versions.end();
            // Upstreams that a node of an earlier release listed have no version.
            if (versions.empty() || (hasUnknown && versions.size() == 1))
                continue;
            auto weights = m_fleet.versionWeights(service);
            if (hasUnknown)
                weights.counts.try_emplace({}, 0);
            auto& history = statement.services[service];
            if (statement.era == m_statement.era)
                hasChanged = history.record(weights, m_wallClock.now()) || hasChanged;
            else
                history.restart(weights, m_wallClock.now());
            hasChanged = history.removeOlderThan(oldestStatedTime()) || hasChanged;
        }
        return hasChanged;
    }

    static std::set<base::ServiceName> servicesWithTakeUps(const manifest::Manifest& manifest)
    {
        std::set<base::ServiceName> services;
        for (const auto& route : manifest.routes) {
            for (const auto& weighted : route.services) {
                if (hasTakeUps(route))
                    services.insert(weighted.service);
            }
        }
        return services;
    }

    // Streams that began before, by the clocks of the nodes, are not taken up any more.
    uint64_t oldestStatedTime() const { return m_wallClock.now() - static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_lifetime).count()); }

    void logStatement() const
    {
        for (const auto& [service, stated] : m_statement.services) {
            for (const auto& [version, count] : stated.entries.back().weights.counts)
                LOG(INFO) << log::LogLine("stream_version_stated").with("service", service.text).with("version", version.text).with("upstreams", count).with("entries", stated.entries.size()).text();
        }
    }

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
    const NodeRole& m_role;
    StoreEra& m_era;
    Clock m_clock;
    WallClock m_wallClock;
    // What this node writes, with the revision of its object in the store.
    origin::NodeRecords m_records;
    origin::VersionStatement m_statement;
    // How long streams live by the timeouts of their routes, and by what clients have stated.
    base::Duration m_routeLifetime {};
    base::Duration m_lifetime {};
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
