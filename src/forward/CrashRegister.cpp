#include "forward/CrashRegister.h"

#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace redwingseam::forward {

void CrashRegister::evictIfFull(Histories& histories)
{
    if (histories.size() < maxHistoriesPerShard)
        return;
    // Quarantined requests are evicted last.
    auto isEvictedBefore = [](const auto& left, const auto& right) {
        return std::pair(left.second.crashes, left.second.lastCrashAt) < std::pair(right.second.crashes, right.second.lastCrashAt);
    };
    histories.erase(std::min_element(histories.begin(), histories.end(), isEvictedBefore));
}

CrashHistory& CrashRegister::historyIn(Histories& histories, base::Fingerprint fingerprint)
{
    if (!histories.contains(fingerprint))
        evictIfFull(histories);
    return histories[fingerprint];
}

void CrashRegister::clear(CrashHistory& history, base::Instant progressAt)
{
    history.wasQuarantined |= history.crashes >= quarantineThreshold;
    history.crashes = 0;
    history.trials = 0;
    history.lastTrialAt.reset();
    history.lastProgressAt = std::max(history.lastProgressAt, std::optional(progressAt));
}

void CrashRegister::applyReport(const CrashReport& report)
{
    auto crashes = m_histories.with(report.fingerprint.value, [&](Histories& histories) {
        auto& history = historyIn(histories, report.fingerprint);
        if (report.sentAt < history.lastCrashAt || report.lostAt <= history.lastProgressAt)
            return 0U;
        history.lastCrashAt = report.lostAt;
        return ++history.crashes;
    });
    if (crashes == quarantineThreshold)
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", report.fingerprint.value).with("crashes", crashes).text();
}

void CrashRegister::recordCrash(const CrashReport& report)
{
    applyReport(report);
    std::lock_guard guard(m_newReportsMutex);
    if (m_newReports.crashes.size() < maxNewReports)
        m_newReports.crashes.push_back(report);
}

void CrashRegister::recordProgress(base::Fingerprint fingerprint, base::Instant now)
{
    auto crashes = m_histories.with(fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(fingerprint);
        if (found == histories.end())
            return 0U;
        auto before = found->second.crashes;
        clear(found->second, now);
        return before;
    });
    if (!crashes)
        return;
    if (crashes >= quarantineThreshold)
        LOG(WARNING) << log::LogLine("request_cleared").with("fingerprint", fingerprint.value).with("crashes", crashes).text();
    std::lock_guard guard(m_newReportsMutex);
    if (m_newReports.clearances.size() < maxNewReports)
        m_newReports.clearances.push_back({ fingerprint, now });
}

void CrashRegister::recordFailureResponse(base::Fingerprint fingerprint)
{
    m_histories.with(fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(fingerprint);
        if (found != histories.end() && found->second.crashes < quarantineThreshold)
            found->second.crashes = 0;
    });
}

void CrashRegister::applyClearance(const RequestClearance& clearance)
{
    bool endsQuarantine = m_histories.with(clearance.fingerprint.value, [&](Histories& histories) {
        auto& history = historyIn(histories, clearance.fingerprint);
        if (clearance.progressAt < history.lastCrashAt)
            return false;
        bool isQuarantined = history.crashes >= quarantineThreshold;
        clear(history, clearance.progressAt);
        return isQuarantined;
    });
    if (endsQuarantine)
        LOG(WARNING) << log::LogLine("request_cleared").with("fingerprint", clearance.fingerprint.value).with("from", "peer").text();
}

void CrashRegister::applyTrial(const RequestTrial& trial)
{
    m_histories.with(trial.fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(trial.fingerprint);
        if (found == histories.end() || found->second.crashes < quarantineThreshold)
            return;
        auto& history = found->second;
        history.trials += !history.lastTrialAt || trial.startedAt - *history.lastTrialAt >= minTrialInterval;
        history.lastTrialAt = std::max(history.lastTrialAt, std::optional(trial.startedAt));
    });
}

bool CrashRegister::merge(const CrashRecord& record)
{
    return m_histories.with(record.fingerprint.value, [&](Histories& histories) {
        auto& history = historyIn(histories, record.fingerprint);
        if (record.lastCrashAt <= history.lastProgressAt)
            return false;
        bool wasQuarantined = history.crashes >= quarantineThreshold;
        history.crashes = std::max(history.crashes, record.crashes);
        history.lastCrashAt = std::max(history.lastCrashAt, record.lastCrashAt);
        history.trials = std::max(history.trials, record.trials);
        history.lastTrialAt = std::max(history.lastTrialAt, record.lastTrialAt);
        return !wasQuarantined && history.crashes >= quarantineThreshold;
    });
}

void CrashRegister::applyQuarantine(const QuarantinedRequest& request)
{
    if (merge({ request.fingerprint, quarantineThreshold, request.lastCrashAt, request.trials, request.lastTrialAt }))
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", request.fingerprint.value).with("from", "peer").text();
}

void CrashRegister::applyRecord(const CrashRecord& record)
{
    if (merge(record))
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", record.fingerprint.value).with("crashes", record.crashes).with("trials", record.trials).with("from", "store").text();
}

unsigned CrashRegister::crashCount(base::Fingerprint fingerprint, base::Instant now)
{
    return m_histories.with(fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(fingerprint);
        if (found == histories.end() || now - found->second.lastCrashAt > retention)
            return 0U;
        return found->second.crashes;
    });
}

bool CrashRegister::isSuspect(base::Fingerprint fingerprint, base::Instant now)
{
    return crashCount(fingerprint, now) > 0;
}

bool CrashRegister::isQuarantined(base::Fingerprint fingerprint, base::Instant now)
{
    return crashCount(fingerprint, now) >= quarantineThreshold;
}

bool CrashRegister::holds(const CrashHistory& history, base::Instant now)
{
    return history.crashes >= quarantineThreshold && now - history.lastCrashAt <= retention;
}

base::Instant CrashRegister::nextTrialAt(const CrashHistory& history)
{
    if (history.trials >= trialIntervals.size())
        return history.lastCrashAt + retention;
    return std::max(history.lastCrashAt, history.lastTrialAt.value_or(history.lastCrashAt)) + trialIntervals[history.trials];
}

std::optional<base::Instant> CrashRegister::quarantinedUntil(base::Fingerprint fingerprint, base::Instant now)
{
    return m_histories.with(fingerprint.value, [&](Histories& histories) -> std::optional<base::Instant> {
        auto found = histories.find(fingerprint);
        if (found == histories.end() || !holds(found->second, now))
            return std::nullopt;
        return nextTrialAt(found->second);
    });
}

bool CrashRegister::isTrialDue(base::Fingerprint fingerprint, base::Instant now)
{
    auto dueAt = quarantinedUntil(fingerprint, now);
    return !dueAt || m_turns.isTurn(fingerprint.value, *dueAt, now);
}

bool CrashRegister::tryBeginTrial(base::Fingerprint fingerprint, base::Instant now)
{
    bool isTrial = false;
    bool maySend = m_histories.with(fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(fingerprint);
        if (found == histories.end() || !holds(found->second, now))
            return true;
        if (!m_turns.isTurn(fingerprint.value, nextTrialAt(found->second), now))
            return false;
        found->second.lastTrialAt = now;
        ++found->second.trials;
        isTrial = true;
        return true;
    });
    if (!isTrial)
        return maySend;
    LOG(WARNING) << log::LogLine("request_tried").with("fingerprint", fingerprint.value).text();
    std::lock_guard guard(m_newReportsMutex);
    if (m_newReports.trials.size() < maxNewReports)
        m_newReports.trials.push_back({ fingerprint, now });
    return true;
}

void CrashRegister::cancelTrial(base::Fingerprint fingerprint, base::Instant startedAt)
{
    m_histories.with(fingerprint.value, [&](Histories& histories) {
        auto found = histories.find(fingerprint);
        if (found == histories.end() || found->second.lastTrialAt != startedAt)
            return;
        found->second.lastTrialAt.reset();
        found->second.trials -= std::min(1U, found->second.trials);
    });
    std::lock_guard guard(m_newReportsMutex);
    std::erase_if(m_newReports.trials, [&](const RequestTrial& trial) { return trial.startedAt == startedAt && trial.fingerprint == fingerprint; });
}

RequestReports CrashRegister::takeReports()
{
    std::lock_guard guard(m_newReportsMutex);
    return std::exchange(m_newReports, {});
}

std::vector<QuarantinedRequest> CrashRegister::quarantinedRequests(base::Instant now)
{
    std::vector<QuarantinedRequest> all;
    m_histories.forEach([&](Histories& histories) {
        std::erase_if(histories, [&](const auto& item) {
            const auto& history = item.second;
            return now - std::max(history.lastCrashAt, history.lastProgressAt.value_or(history.lastCrashAt)) > retention;
        });
        for (const auto& [fingerprint, history] : histories) {
            if (history.crashes >= quarantineThreshold)
                all.push_back({ fingerprint, history.lastCrashAt, history.trials, history.lastTrialAt });
        }
    });
    return all;
}

std::vector<CrashRecord> CrashRegister::lastingRecords(base::Instant now)
{
    std::vector<CrashRecord> all;
    m_histories.forEach([&](Histories& histories) {
        for (const auto& [fingerprint, history] : histories) {
            if (history.crashes + 1 >= quarantineThreshold && now - history.lastCrashAt <= retention)
                all.push_back({ fingerprint, history.crashes, history.lastCrashAt, history.trials, history.lastTrialAt });
        }
    });
    if (all.size() > maxLastingRecords) {
        auto isKeptBefore = [](const CrashRecord& left, const CrashRecord& right) { return std::pair(left.crashes, left.lastCrashAt) > std::pair(right.crashes, right.lastCrashAt); };
        std::nth_element(all.begin(), all.begin() + maxLastingRecords, all.end(), isKeptBefore);
        all.resize(maxLastingRecords);
    }
    std::sort(all.begin(), all.end(), [](const CrashRecord& left, const CrashRecord& right) { return left.fingerprint.value < right.fingerprint.value; });
    return all;
}

std::vector<RequestClearance> CrashRegister::clearedRequests()
{
    std::vector<RequestClearance> all;
    m_histories.forEach([&](Histories& histories) {
        for (const auto& [fingerprint, history] : histories) {
            if (history.wasQuarantined && !history.crashes && history.lastProgressAt && all.size() < maxClearedRequests)
                all.push_back({ fingerprint, *history.lastProgressAt });
        }
    });
    return all;
}

} // namespace redwingseam::forward
