#pragma once

// The part of a PeerSync that finds out for take-ups of streams where they began, and whether the list of upstreams is current.

#include "log/LogLine.h"
#include "replication/PeerSync.h"

#include <algorithm>
#include <glog/logging.h>
#include <iterator>
#include <utility>

namespace redwingseam::replication {

// Any node may have sent the stream, also one of another data centre.
template<ManifestParser Parser>
void PeerSync<Parser>::askForOrigins(OutgoingMessages& outgoing, base::Instant now)
{
    auto attempts = m_origins.lookups().takeQuestions(now);
    auto nodes = m_directory.nodes();
    if (m_hasNodeList && !attempts.empty()) {
        std::vector<base::VmName> names;
        for (const auto& node : nodes) {
            if (node.name != m_directory.self().name)
                names.push_back(node.name);
        }
        m_origins.lookups().recordAsked(attempts, names);
    }
    for (size_t begin = 0; begin < attempts.size(); begin += maxAttemptsPerQuery) {
        auto end = std::min(attempts.size(), begin + maxAttemptsPerQuery);
        OriginQuery query { m_directory.self(), { attempts.begin() + static_cast<ptrdiff_t>(begin), attempts.begin() + static_cast<ptrdiff_t>(end) } };
        for (const auto& node : nodes) {
            if (node.name != m_directory.self().name)
                outgoing.push_back({ node.peerAddress, query });
        }
    }
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::receive(const OriginQuery& query, base::Instant now)
{
    m_directory.recordMessageFrom(query.from, now);
    auto found = m_origins.find(query.attempts);
    auto snapshot = m_upstreamCache.snapshot();
    bool isChecked = query.listCheck && snapshot;
    auto keptSince = m_origins.unrecordedTimes().keptSince();
    bool disclaims = keptSince && found.size() < query.attempts.size();
    if (found.empty() && !isChecked && !disclaims)
        return {};
    OriginReply reply { m_directory.self(), std::move(found) };
    if (disclaims) {
        reply.keptSince = *keptSince;
        std::copy_if(query.attempts.begin(), query.attempts.end(), std::back_inserter(reply.unknown), [&](const auto& attempt) {
            return std::none_of(reply.streams.begin(), reply.streams.end(), [&](const auto& record) { return record.attempt == attempt; });
        });
    }
    if (isChecked) {
        reply.listCheck = query.listCheck;
        reply.listVersion = snapshot->list->version;
        reply.isReader = isReader();
    }
    return { { query.from.peerAddress, std::move(reply) } };
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::receive(const OriginReply& reply, base::Instant now)
{
    m_directory.recordMessageFrom(reply.from, now);
    m_origins.lookups().answerFromPeer(reply.streams);
    m_origins.lookups().recordDisclaimer(reply.unknown, { reply.from.name, reply.keptSince });
    if (reply.listCheck) {
        m_listCheck.recordReply(reply);
        concludeListCheck(now);
    }
    return {};
}

template<ManifestParser Parser>
bool PeerSync<Parser>::isReader() const
{
    auto snapshot = m_upstreamCache.snapshot();
    return m_role.isLeader() && snapshot && snapshot->confirmedAt >= m_leaderSince;
}

// One check serves all take-ups that arrived before it.
template<ManifestParser Parser>
void PeerSync<Parser>::checkList(OutgoingMessages& outgoing, base::Instant now)
{
    concludeListCheck(now);
    // A node that has not learned of the others yet can't ask them.
    bool mayAsk = m_hasNodeList || m_directory.size() > 1;
    bool isTooSoon = m_listCheck.isInProgress(now) || now - m_lastListCheck < listCheckInterval;
    if (!mayAsk || isTooSoon || !m_origins.listCurrency().isCheckNeeded(now))
        return;
    auto witnesses = m_directory.listWitnesses(now);
    m_listCheck.begin(m_directory.self(), isReader(), witnesses, now);
    m_lastListCheck = now;
    for (const auto& node : witnesses)
        outgoing.push_back({ node.peerAddress, OriginQuery { m_directory.self(), {}, m_listCheck.sequence() } });
    concludeListCheck(now);
}

template<ManifestParser Parser>
void PeerSync<Parser>::concludeListCheck(base::Instant now)
{
    if (m_listCheck.beganAt() == base::Instant {})
        return;
    auto snapshot = m_upstreamCache.snapshot();
    // The fleet receives a list a moment after the cache.
    bool isInForce = snapshot && m_fleet.listedAt() >= snapshot->confirmedAt;
    bool hasSucceeded = isInForce && m_listCheck.hasSucceeded(snapshot->list->version, now);
    if (!hasSucceeded && m_listCheck.isInProgress(now))
        return;
    if (hasSucceeded)
        m_origins.listCurrency().recordCheck(m_listCheck.beganAt());
    logListCheck(snapshot ? snapshot->list->version : sync::StoreVersion {}, hasSucceeded, now);
    m_listCheck.end();
}

template<ManifestParser Parser>
void PeerSync<Parser>::logListCheck(sync::StoreVersion held, bool hasSucceeded, base::Instant now) const
{
    log::LogLine line("upstream_list_checked");
    line.with("outcome", hasSucceeded ? "current" : "unknown").with("era", held.era).with("revision", held.revision).with("newest_era", m_listCheck.newest().era).with("newest_revision", m_listCheck.newest().revision);
    line.with("replies", m_listCheck.replyCount()).with("asked", m_listCheck.witnessCount()).with("took_ms", static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_listCheck.beganAt()).count()));
    LOG(INFO) << line.text();
}

} // namespace redwingseam::replication
