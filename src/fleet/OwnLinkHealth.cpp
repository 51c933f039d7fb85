#include "fleet/OwnLinkHealth.h"

#include "log/LogLine.h"

#include <glog/logging.h>
#include <mutex>
#include <set>

namespace redwingseam::fleet {

void OwnLinkHealth::recordFailure(const UpstreamInstance& upstream, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    std::erase_if(m_connected, [&](const Contact& contact) { return contact.upstream == upstream.id; });
    add(m_failed, upstream, now);
}

void OwnLinkHealth::recordConnected(const UpstreamInstance& upstream, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    std::erase_if(m_failed, [&](const Contact& contact) { return contact.upstream == upstream.id; });
    add(m_connected, upstream, now);
}

void OwnLinkHealth::recordPeerAsked(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    if (m_unansweredSince == base::Instant {})
        m_unansweredSince = now;
}

bool OwnLinkHealth::isPeerOverdue(base::Instant now) const
{
    std::lock_guard guard(m_mutex);
    return isOverdue(now);
}

void OwnLinkHealth::recordPeerAnswer(base::Duration elapsed, base::Instant now)
{
    if (elapsed > maxPeerDelay)
        return;
    {
        std::lock_guard guard(m_mutex);
        if (isOverdue(now))
            m_silenceEndedAt = now;
        m_unansweredSince = {};
        m_peerAnsweredAt = now;
    }
    judge(now);
}

void OwnLinkHealth::countHeldBack(size_t reports)
{
    std::lock_guard guard(m_mutex);
    m_heldBack += reports;
}

LinkJudgement OwnLinkHealth::judge(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    removeOld(m_failed, now);
    removeOld(m_connected, now);
    auto judgement = currentJudgement(now);
    if (judgement == m_judgement)
        return judgement;
    m_judgement = judgement;
    logChange(now);
    m_heldBack = 0;
    return judgement;
}

void OwnLinkHealth::add(Contacts& contacts, const UpstreamInstance& upstream, base::Instant now)
{
    if (contacts.size() >= maxContacts)
        contacts.pop_front();
    contacts.push_back({ upstream.id, upstream.dataCentre, now });
}

void OwnLinkHealth::removeOld(Contacts& contacts, base::Instant now)
{
    std::erase_if(contacts, [&](const Contact& contact) { return now - contact.at >= window; });
}

size_t OwnLinkHealth::countUpstreams(const Contacts& contacts)
{
    std::set<base::UpstreamName> names;
    for (const auto& contact : contacts)
        names.insert(contact.upstream);
    return names.size();
}

size_t OwnLinkHealth::countDataCentres(const Contacts& contacts)
{
    std::set<base::DataCentreName> names;
    for (const auto& contact : contacts)
        names.insert(contact.dataCentre);
    return names.size();
}

bool OwnLinkHealth::arePeersReached(base::Instant now) const
{
    bool wasSilent = m_silenceEndedAt != base::Instant {} && now - m_silenceEndedAt < connectPatience;
    return now - m_peerAnsweredAt < maxPeerSilence && !isOverdue(now) && !wasSilent;
}

LinkJudgement OwnLinkHealth::currentJudgement(base::Instant now) const
{
    auto failed = countUpstreams(m_failed);
    bool isSpread = failed >= minFailedUpstreams && countDataCentres(m_failed) >= minFailedDataCentres;
    bool isReached = countUpstreams(m_connected) * minFailedPerConnected > failed || arePeersReached(now);
    return isSpread && !isReached ? LinkJudgement::Doubtful : LinkJudgement::Sound;
}

void OwnLinkHealth::logChange(base::Instant now) const
{
    log::LogLine line("own_link_judged");
    line.with("judgement", base::nameOf(m_judgement)).with("failed", countUpstreams(m_failed)).with("failed_data_centres", countDataCentres(m_failed));
    line.with("connected", countUpstreams(m_connected)).with("held_back", m_heldBack);
    if (m_peerAnsweredAt != base::Instant {})
        line.with("since_peer_ms", static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_peerAnsweredAt).count()));
    if (m_unansweredSince != base::Instant {})
        line.with("unanswered_ms", static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_unansweredSince).count()));
    LOG(WARNING) << line.text();
}

} // namespace redwingseam::fleet
