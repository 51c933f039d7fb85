#include "sync/StatedVersions.h"

#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>

namespace redwingseam::sync {

void StatedVersions::learn(const origin::StoredOrigins& stored, bool isLeader)
{
    bool isCopy = m_statement.era && m_statement.era < stored.era && stored.statement.era < stored.era;
    m_hasOutlivedRestore = isCopy && isLeader && m_confirmedList;
    if (m_hasOutlivedRestore) {
        m_statement.revision = stored.statement.revision;
        return;
    }
    if (m_statement.revision != stored.statement.revision)
        loseTrack();
    m_statement = stored.statement;
}

void StatedVersions::publish(uint64_t era, uint64_t oldest, uint64_t timeOfDay)
{
    for (auto& item : m_statement.services)
        item.second.removeOlderThan(oldest);
    bool isOfEra = m_statement.era == era;
    m_origins.setStated(isOfEra ? reliableServices(timeOfDay) : std::map<base::ServiceName, origin::WeightHistory> {});
    m_origins.setStatedInEra(isOfEra ? m_statement.services : std::map<base::ServiceName, origin::WeightHistory> {});
}

// What was stated before a restore may lack versions, and so may the list for a while after.
std::map<base::ServiceName, origin::WeightHistory> StatedVersions::reliableServices(uint64_t timeOfDay) const
{
    auto reliable = m_statement.services;
    std::erase_if(reliable, [&](const auto& item) { return !item.second.isSettled(timeOfDay); });
    return reliable;
}

void StatedVersions::applyVersions(uint64_t era, base::Instant now)
{
    for (const auto& [service, stated] : m_statement.services) {
        for (const auto& version : stated.versions())
            m_fleet.recordVersion(service, version, now);
        auto listed = m_fleet.versionsSince(service, now);
        bool isDoubtful = m_statement.era != era && !m_hasOutlivedRestore && listed.size() != 1;
        if (isDoubtful)
            m_fleet.recordVersion(service, {}, now);
    }
}

origin::VersionStatement StatedVersions::next(const Observation& observation, const std::set<base::ServiceName>& services) const
{
    auto statement = m_statement;
    std::erase_if(statement.services, [&](const auto& item) { return !services.contains(item.first); });
    for (const auto& service : services)
        record(statement, service, observation);
    if (!statement.services.empty())
        statement.era = observation.era;
    return statement;
}

void StatedVersions::record(origin::VersionStatement& statement, const base::ServiceName& service, const Observation& observation) const
{
    auto versions = m_origins.versionsOf(service, observation.now);
    bool hasUnknown = std::find(versions.begin(), versions.end(), base::SoftwareVersion {}) != versions.end();
    // Upstreams that a node of an earlier release listed have no version.
    if (versions.empty() || (hasUnknown && versions.size() == 1))
        return;
    auto weights = m_fleet.versionWeights(service);
    if (hasUnknown)
        weights.counts.try_emplace({}, 0);
    auto& history = statement.services[service];
    origin::ListSpan span { m_confirmedList, observation.list };
    if (history.isBeginDoubtful(observation.timeOfDay))
        span.lastBefore.reset();
    if (observation.era == m_statement.era)
        history.record(weights, observation.timeOfDay, span);
    else
        history.restart(weights, observation.timeOfDay, span);
    history.removeOlderThan(observation.oldest);
}

void StatedVersions::replace(origin::VersionStatement statement, StoreVersion confirmedList)
{
    m_statement = std::move(statement);
    m_confirmedList = confirmedList;
    logNumbers();
}

void StatedVersions::logNumbers() const
{
    for (const auto& [service, stated] : m_statement.services) {
        for (const auto& [version, count] : stated.entries.back().weights.counts)
            LOG(INFO) << log::LogLine("stream_version_stated").with("service", service.text).with("version", version.text).with("upstreams", count).with("entries", stated.entries.size()).text();
    }
}

} // namespace redwingseam::sync
