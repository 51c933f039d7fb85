#pragma once

#include "fleet/LinkJudgement.h"
#include "fleet/SuspicionCause.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/fleet/UpstreamInstance.h"

#include <deque>

namespace redwingseam::fleet {

// Judges whether the node itself is cut off or slow, from the upstreams and peers that it has and has not reached in the
// last second. Upstreams fail in any number, and in several data centres at once, but then the other nodes answer as
// before. Thread-safe.
class OwnLinkHealth {
public:
    // Returns whether the failure is of the kind that a cut or full link of this node causes as well. A connection that was
    // reset, or a response of any kind, arrived over the link.
    static constexpr bool mayBeOwn(SuspicionCause cause) { return cause == SuspicionCause::Unreachable || cause == SuspicionCause::Silent; }

    // Records that the upstream did not accept a connection in time, or sent nothing.
    void recordFailure(const UpstreamInstance&, base::Instant now);
    // Records that the upstream accepted a connection in time.
    void recordConnected(const UpstreamInstance&, base::Instant now);
    // Records that another node, which answered until now, is asked.
    void recordPeerAsked(base::Instant now);
    // Returns whether a question to another node has had no answer for too long, and none was answered in time since.
    bool isPeerOverdue(base::Instant now) const;
    // Records that another node has answered, `elapsed` after it was asked. A late answer says nothing for the link.
    void recordPeerAnswer(base::Duration elapsed, base::Instant now);
    // Counts reports of failures that other nodes are not sent, for the log line on the next change.
    void countHeldBack(size_t reports);
    // Logs each change of the judgement.
    LinkJudgement judge(base::Instant now);

private:
    struct Contact {
        base::UpstreamName upstream;
        base::DataCentreName dataCentre;
        base::Instant at;
    };
    using Contacts = std::deque<Contact>;

    // The span of the evidence.
    static constexpr base::Duration window = std::chrono::milliseconds(1000);
    // Limits the evidence that is kept.
    static constexpr size_t maxContacts = 256;
    // Fewer upstreams may fail independently of each other.
    static constexpr size_t minFailedUpstreams = 3;
    // A data centre may fail as a whole.
    static constexpr size_t minFailedDataCentres = 2;
    // Failed upstreams for each one that was reached, at least.
    static constexpr size_t minFailedPerConnected = 2;
    // The same patience as for the probe of an upstream.
    static constexpr base::Duration maxPeerDelay = std::chrono::milliseconds(150);
    // Bounds the silence of a node that asks nobody. Nodes ask their hub four times a second, hubs ask each other twice.
    static constexpr base::Duration maxPeerSilence = std::chrono::milliseconds(700);
    // A connection that was started while the link was cut fails this much later, though the link is free again.
    static constexpr base::Duration connectPatience = std::chrono::milliseconds(350);

    static void add(Contacts&, const UpstreamInstance&, base::Instant now);
    static void removeOld(Contacts&, base::Instant now);
    static size_t countUpstreams(const Contacts&);
    static size_t countDataCentres(const Contacts&);
    bool isOverdue(base::Instant now) const { return m_unansweredSince != base::Instant {} && now - m_unansweredSince > maxPeerDelay; }
    bool arePeersReached(base::Instant now) const;
    LinkJudgement currentJudgement(base::Instant now) const;
    void logChange(base::Instant now) const;

    mutable base::Mutex m_mutex;
    Contacts m_failed;
    Contacts m_connected;
    base::Instant m_peerAnsweredAt {};
    // When the first question was sent since an answer last came in time; zero if there is none.
    base::Instant m_unansweredSince {};
    // When an answer in time last ended a silence.
    base::Instant m_silenceEndedAt {};
    LinkJudgement m_judgement = LinkJudgement::Sound;
    uint64_t m_heldBack = 0;
};

} // namespace redwingseam::fleet
