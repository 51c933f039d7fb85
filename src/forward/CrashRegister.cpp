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

void CrashRegister::applyReport(const CrashReport& report)
{
    auto crashes = m_histories.with(report.fingerprint.value, [&](Histories& histories) {
        if (!histories.contains(report.fingerprint))
            evictIfFull(histories);
        auto& history = histories[report.fingerprint];
        if (report.sentAt < history.lastCrashAt)
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
    if (m_newReports.size() < maxNewReports)
        m_newReports.push_back(report);
}

void CrashRegister::applyQuarantine(const QuarantinedRequest& request)
{
    bool isNew = m_histories.with(request.fingerprint.value, [&](Histories& histories) {
        if (!histories.contains(request.fingerprint))
            evictIfFull(histories);
        auto& history = histories[request.fingerprint];
        bool wasQuarantined = history.crashes >= quarantineThreshold;
        history.crashes = std::max(history.crashes, quarantineThreshold);
        history.lastCrashAt = std::max(history.lastCrashAt, request.lastCrashAt);
        return !wasQuarantined;
    });
    if (isNew)
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", request.fingerprint.value).with("from", "peer").text();
}

void CrashRegister::recordProgress(base::Fingerprint fingerprint)
{
    m_histories.with(fingerprint.value, [&](Histories& histories) { histories.erase(fingerprint); });
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

std::vector<CrashReport> CrashRegister::takeReports()
{
    std::lock_guard guard(m_newReportsMutex);
    return std::exchange(m_newReports, {});
}

std::vector<QuarantinedRequest> CrashRegister::quarantinedRequests(base::Instant now)
{
    std::vector<QuarantinedRequest> all;
    m_histories.forEach([&](Histories& histories) {
        std::erase_if(histories, [&](const auto& item) { return now - item.second.lastCrashAt > retention; });
        for (const auto& [fingerprint, history] : histories) {
            if (history.crashes >= quarantineThreshold)
                all.push_back({ fingerprint, history.lastCrashAt });
        }
    });
    return all;
}

} // namespace redwingseam::forward
