#pragma once

#include "forward/BlameAnalysis.h"
#include "forward/PartEvidence.h"
#include "forward/PartReports.h"
#include "forward/PartState.h"
#include "forward/TrialSchedule.h"
#include "redwingseam/base/Sharded.h"

#include <atomic>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>

namespace redwingseam::forward {

// Finds the prompt parts on which upstreams crash, whatever else a request holds, and quarantines them. A crash speaks
// against all parts of its request, progress speaks for them: a part that crashes upstreams never makes progress. The
// nodes exchange crashes and clearances, so all of them come to the same verdicts. A quarantined part is tried again
// at growing intervals, and progress in a trial clears it. Thread-safe.
class PartRegister {
public:
    using Parts = std::span<const base::PromptPartHash>;

    // Records a crash that this node observed, for the other nodes as well.
    void recordCrash(PartCrash, base::Instant now);
    // Records that a request with the parts has produced an event or a complete response.
    void recordProgress(Parts, base::Instant now);

    // Returns whether a crash may have been caused by one of the parts.
    bool isSuspect(Parts);
    bool isQuarantined(Parts);
    // Returns when a request of the account with the parts may be tried again, if one of them is quarantined.
    std::optional<base::Instant> quarantinedUntil(Parts, base::ClientHash account = {});
    // Returns whether this node may send a request of the account with quarantined parts as a trial.
    bool isTrialDue(Parts, base::Instant now, base::ClientHash account = {});
    // As isTrialDue, and records the trial if it is due.
    bool tryBeginTrial(Parts, base::Instant now, base::ClientHash account = {});
    // Withdraws a trial that this node began at `startedAt` if the request was not sent after all.
    void cancelTrial(Parts, base::Instant startedAt);
    TrialSchedule& trials() { return m_trials; }

    // Applies the reports of another node.
    void apply(const PartReports&, base::Instant now);
    // Returns and clears what this node has to report since the last call.
    PartReports takeReports();
    // Returns the evidence for all quarantined parts and the latest clearances, for a node that missed the reports.
    PartReports evidence();
    // Returns a hash of the quarantined parts, 0 if there are none.
    uint64_t quarantineHash() const { return m_quarantineHash; }
    size_t quarantinedCount() const { return m_quarantinedCount; }

    // A part that has never made progress and is the only possible cause of two crashes of different upstreams causes
    // them. Where other parts may be the cause as well, a third crash is needed.
    static constexpr unsigned unambiguousThreshold = 2;
    static constexpr unsigned ambiguousThreshold = 3;
    // Losses at one upstream speak against that upstream in the first place.
    static constexpr unsigned singleUpstreamThreshold = 5;
    // A part with recent progress is sound, unless upstreams changed. Other causes are far more likely.
    static constexpr unsigned provenThreshold = 6;

private:
    using States = std::unordered_map<base::PromptPartHash, PartState>;

    // The evidence against parts. `m_mutex` protects it and is locked before that of a shard.
    struct Evidence {
        std::vector<PartCrash> crashes;
        std::vector<base::PromptPartHash> quarantined;
        std::deque<PartClearance> clearances;
        // The parts that are a possible cause of a crash.
        std::vector<base::PromptPartHash> accused;
    };

    struct Judgement {
        PartVerdict verdict = PartVerdict::Sound;
        bool isPossibleCause = false;
        CrashBlame blame;
    };

    using Judgements = std::unordered_map<base::PromptPartHash, Judgement>;

    template<typename Function>
    decltype(auto) withState(base::PromptPartHash part, Function&& function)
    {
        return m_states.with(part.value, [&](States& states) -> decltype(auto) { return function(states); });
    }

    PartState stateOf(base::PromptPartHash);
    // Removes the crashes whose retention has passed. Returns whether there were any.
    bool removeOldCrashes(base::Instant now);
    // Returns whether the crash was not known before.
    bool addCrash(const PartCrash&, base::Instant now);
    // Returns whether the part was a possible cause of a crash until then.
    bool addProgress(base::PromptPartHash, base::Instant at);
    // Tells the other nodes of earlier progress that speaks for the parts of the crashed request, unless they know of progress
    // that says the same.
    void reportProgress(const PartCrash&);
    std::optional<base::Instant> takeUnreportedProgress(base::PromptPartHash, base::Instant lostAt);
    void setProgressReported(const PartClearance&);
    void addTrial(const PartTrial&);
    void addClearance(const PartClearance&);
    void evictCrashIfFull();
    // Returns the state of the part, which is new if there was none.
    static PartState& stateIn(States&, base::PromptPartHash);
    // Judges all parts anew after the evidence has changed.
    void updateVerdicts();
    // Returns the failures with their possible causes, drops the crashes that have none any more, and marks all parts
    // that may be a cause.
    std::vector<CrashEvent> findFailures(Judgements&);
    bool isQuarantineDue(const CrashBlame&);
    void setState(base::PromptPartHash, const Judgement&);

    // The limits bound the memory. Evidence against quarantined parts goes last.
    static constexpr size_t maxCrashes = 128;
    static constexpr size_t maxClearances = 32;
    static constexpr size_t maxStatesPerShard = 512;
    static constexpr size_t maxReports = 64;
    // Clients may keep sending requests with a quarantined part for this long.
    static constexpr base::Duration retention = std::chrono::hours(12);

    TrialSchedule m_trials;
    base::Sharded<States> m_states;
    base::Mutex m_mutex;
    Evidence m_evidence;
    base::Mutex m_reportsMutex;
    PartReports m_reports;
    std::atomic<uint64_t> m_quarantineHash { 0 };
    std::atomic<size_t> m_quarantinedCount { 0 };
    // Spares requests the look-ups in the usual case.
    std::atomic<bool> m_hasAccused { false };
};

} // namespace redwingseam::forward
