#include "forward/PartRegister.h"

#include "base/Hash.h"
#include "forward/FormatParts.h"
#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <mutex>
#include <tuple>
#include <utility>

namespace redwingseam::forward {

static std::string format(base::PromptPartHash part)
{
    return formatParts({ &part, 1 });
}

static uint64_t millis(base::Duration duration)
{
    return static_cast<uint64_t>(std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

PartState PartRegister::stateOf(base::PromptPartHash part)
{
    return withState(part, [&](States& states) {
        auto found = states.find(part);
        return found == states.end() ? PartState {} : found->second;
    });
}

PartState& PartRegister::stateIn(States& states, base::PromptPartHash part)
{
    if (states.size() >= maxStatesPerShard && !states.contains(part)) {
        auto rank = [](const PartState& state) { return std::tuple(state.verdict, state.isPossibleCause, state.lastProgressAt); };
        states.erase(std::min_element(states.begin(), states.end(), [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); }));
    }
    return states[part];
}

void PartRegister::recordCrash(PartCrash crash, base::Instant now)
{
    if (crash.parts.empty())
        return;
    crash.id = base::hashBytes(crash.upstream.text, base::hashCombine(crash.fingerprint.value, static_cast<uint64_t>(crash.lostAt.time_since_epoch().count())));
    std::lock_guard guard(m_mutex);
    if (!addCrash(crash, now))
        return;
    LOG(WARNING) << log::LogLine("prompt_parts_suspected").with("parts", formatParts(crash.parts)).with("upstream", crash.upstream.text).with("ran_ms", millis(crash.lostAt - crash.sentAt)).text();
    {
        std::lock_guard reportsGuard(m_reportsMutex);
        if (m_reports.crashes.size() < maxReports)
            m_reports.crashes.push_back(std::move(crash));
    }
    updateVerdicts();
}

bool PartRegister::removeOldCrashes(base::Instant now)
{
    return std::erase_if(m_evidence.crashes, [&](const PartCrash& crash) { return now - crash.lostAt > retention; }) > 0;
}

bool PartRegister::addCrash(const PartCrash& crash, base::Instant now)
{
    // Another node may report a crash that this one has removed.
    if (now - crash.lostAt > retention)
        return false;
    removeOldCrashes(now);
    auto& crashes = m_evidence.crashes;
    if (std::any_of(crashes.begin(), crashes.end(), [&](const PartCrash& known) { return known.id == crash.id; }))
        return false;
    evictCrashIfFull();
    crashes.push_back(crash);
    reportProgress(crash);
    return true;
}

void PartRegister::evictCrashIfFull()
{
    auto& crashes = m_evidence.crashes;
    if (crashes.size() < maxCrashes)
        return;
    auto isAboutQuarantined = [&](const PartCrash& crash) {
        return std::any_of(crash.parts.begin(), crash.parts.end(), [&](auto part) { return stateOf(part).verdict == PartVerdict::Quarantined; });
    };
    auto rank = [&](const PartCrash& crash) { return std::pair(isAboutQuarantined(crash), crash.lostAt); };
    crashes.erase(std::min_element(crashes.begin(), crashes.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

bool PartRegister::isSuspect(Parts parts)
{
    return m_hasAccused && std::any_of(parts.begin(), parts.end(), [&](auto part) { return stateOf(part).verdict != PartVerdict::Sound; });
}

bool PartRegister::isQuarantined(Parts parts)
{
    return quarantinedUntil(parts).has_value();
}

void PartRegister::apply(const PartReports& reports, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    if (!removeOldCrashes(now) && reports.isEmpty())
        return;
    for (const auto& clearance : reports.clearances) {
        addProgress(clearance.part, clearance.progressAt);
        setProgressReported(clearance);
        addClearance(clearance);
    }
    for (const auto& crash : reports.crashes)
        addCrash(crash, now);
    updateVerdicts();
    for (const auto& trial : reports.trials)
        addTrial(trial);
}

PartReports PartRegister::takeReports()
{
    std::lock_guard guard(m_reportsMutex);
    return std::exchange(m_reports, {});
}

PartReports PartRegister::evidence()
{
    std::lock_guard guard(m_mutex);
    PartReports reports;
    reports.clearances.assign(m_evidence.clearances.begin(), m_evidence.clearances.end());
    const auto& quarantined = m_evidence.quarantined;
    auto isQuarantined = [&](base::PromptPartHash part) { return std::find(quarantined.begin(), quarantined.end(), part) != quarantined.end(); };
    for (const auto& crash : m_evidence.crashes) {
        auto causes = crash;
        causes.parts = possibleCauses(crash, [&](auto part) { return stateOf(part).lastProgressAt; });
        if (std::any_of(causes.parts.begin(), causes.parts.end(), isQuarantined))
            reports.crashes.push_back(std::move(causes));
    }
    for (auto part : quarantined) {
        if (auto state = stateOf(part); state.lastTrialAt)
            reports.trials.push_back({ part, *state.lastTrialAt });
    }
    return reports;
}

bool PartRegister::isQuarantineDue(const CrashBlame& blame)
{
    // Requests as a whole are the concern of the CrashRegister.
    if (blame.cause.kind != CauseKind::PromptPart)
        return false;
    auto progressAt = stateOf({ blame.cause.value }).lastProgressAt;
    bool isProven = progressAt && blame.lastCrashAt - *progressAt <= soundnessPeriod;
    if (isProven)
        return blame.crashes >= provenThreshold;
    if (blame.upstreams == 1)
        return blame.crashes >= singleUpstreamThreshold;
    return blame.crashes >= ambiguousThreshold || blame.unambiguousCrashes >= unambiguousThreshold;
}

void PartRegister::setState(base::PromptPartHash part, const Judgement& judgement)
{
    const auto& blame = judgement.blame;
    auto before = withState(part, [&](States& states) {
        auto& state = stateIn(states, part);
        auto previous = std::exchange(state.verdict, judgement.verdict);
        state.isPossibleCause = judgement.isPossibleCause;
        if (blame.lastCrashAt != state.lastCrashAt)
            state.trials = 0;
        state.crashes = blame.crashes;
        state.lastCrashAt = blame.lastCrashAt;
        state.soleAccount = blame.soleAccount;
        if (judgement.verdict != PartVerdict::Quarantined) {
            state.lastTrialAt.reset();
            state.trials = 0;
        }
        return previous;
    });
    bool isChange = before != judgement.verdict && (before == PartVerdict::Quarantined || judgement.verdict == PartVerdict::Quarantined);
    if (!isChange)
        return;
    LOG(WARNING) << log::LogLine("prompt_part_verdict").with("part", format(part)).with("verdict", base::nameOf(judgement.verdict)).with("before", base::nameOf(before)).with("crashes", blame.crashes).with("unambiguous_crashes", blame.unambiguousCrashes).with("sole_account", blame.soleAccount.value).text();
}

std::vector<CrashEvent> PartRegister::findFailures(Judgements& judgements)
{
    std::vector<PartCrash> causes;
    std::erase_if(m_evidence.crashes, [&](const PartCrash& crash) {
        for (auto part : crash.parts)
            judgements[part].isPossibleCause |= stateOf(part).lastProgressAt < crash.lostAt;
        auto possible = crash;
        possible.parts = possibleCauses(crash, [&](auto part) { return stateOf(part).lastProgressAt; });
        if (possible.parts.empty())
            return true;
        causes.push_back(std::move(possible));
        return false;
    });
    return groupByFailure(std::move(causes));
}

void PartRegister::updateVerdicts()
{
    Judgements judgements;
    // Parts that are not accused any more become sound.
    for (auto part : m_evidence.accused)
        judgements[part];
    auto failures = findFailures(judgements);
    m_evidence.quarantined.clear();
    uint64_t hash = 0;
    for (const auto& blame : assignBlame(failures)) {
        if (!isQuarantineDue(blame))
            continue;
        base::PromptPartHash part { blame.cause.value };
        m_evidence.quarantined.push_back(part);
        judgements[part].verdict = PartVerdict::Quarantined;
        judgements[part].blame = blame;
        hash ^= base::hashCombine(part.value, 1);
    }
    for (const auto& failure : failures) {
        auto parts = failure.parts();
        bool isExplained = std::any_of(parts.begin(), parts.end(), [&](auto part) { return judgements[part].verdict == PartVerdict::Quarantined; });
        for (auto part : parts) {
            auto& verdict = judgements[part].verdict;
            if (!isExplained && verdict == PartVerdict::Sound)
                verdict = PartVerdict::Suspect;
        }
    }
    m_evidence.accused.clear();
    for (const auto& [part, judgement] : judgements) {
        setState(part, judgement);
        if (judgement.isPossibleCause)
            m_evidence.accused.push_back(part);
    }
    m_quarantineHash = hash;
    m_quarantinedCount = m_evidence.quarantined.size();
    m_hasAccused = !m_evidence.accused.empty();
}

} // namespace redwingseam::forward
