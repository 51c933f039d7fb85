#include "forward/CrashRegister.h"

#include "log/LogLine.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace redwingseam::forward {

void CrashRegister::makeRoom(Records& records)
{
    if (records.size() < mostRecordsInShard)
        return;
    // What is harmful goes last.
    auto isLess = [](const auto& one, const auto& other) {
        return std::pair(one.second.crashes, one.second.lastEndedAt) < std::pair(other.second.crashes, other.second.lastEndedAt);
    };
    records.erase(std::min_element(records.begin(), records.end(), isLess));
}

void CrashRegister::learn(const CrashEvent& event)
{
    auto crashes = m_records.with(event.fingerprint.value, [&](Records& records) {
        if (!records.contains(event.fingerprint))
            makeRoom(records);
        auto& record = records[event.fingerprint];
        if (event.sentAt < record.lastEndedAt)
            return 0U;
        record.lastEndedAt = event.endedAt;
        return ++record.crashes;
    });
    if (crashes == harmfulAfter)
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", event.fingerprint.value).with("crashes", crashes).text();
}

void CrashRegister::note(const CrashEvent& event)
{
    learn(event);
    std::lock_guard guard(m_newsMutex);
    if (m_news.size() < mostNews)
        m_news.push_back(event);
}

void CrashRegister::learn(const HarmfulRequest& request)
{
    bool isNew = m_records.with(request.fingerprint.value, [&](Records& records) {
        if (!records.contains(request.fingerprint))
            makeRoom(records);
        auto& record = records[request.fingerprint];
        bool wasHarmful = record.crashes >= harmfulAfter;
        record.crashes = std::max(record.crashes, harmfulAfter);
        record.lastEndedAt = std::max(record.lastEndedAt, request.endedAt);
        return !wasHarmful;
    });
    if (isNew)
        LOG(WARNING) << log::LogLine("request_harmful").with("fingerprint", request.fingerprint.value).with("from", "peer").text();
}

void CrashRegister::noteServed(base::Fingerprint fingerprint)
{
    m_records.with(fingerprint.value, [&](Records& records) { records.erase(fingerprint); });
}

unsigned CrashRegister::crashesOf(base::Fingerprint fingerprint, base::Instant now)
{
    return m_records.with(fingerprint.value, [&](Records& records) {
        auto found = records.find(fingerprint);
        if (found == records.end() || now - found->second.lastEndedAt > keptFor)
            return 0U;
        return found->second.crashes;
    });
}

bool CrashRegister::isSuspect(base::Fingerprint fingerprint, base::Instant now)
{
    return crashesOf(fingerprint, now) > 0;
}

bool CrashRegister::isHarmful(base::Fingerprint fingerprint, base::Instant now)
{
    return crashesOf(fingerprint, now) >= harmfulAfter;
}

std::vector<CrashEvent> CrashRegister::takeNews()
{
    std::lock_guard guard(m_newsMutex);
    return std::exchange(m_news, {});
}

std::vector<HarmfulRequest> CrashRegister::harmful(base::Instant now)
{
    std::vector<HarmfulRequest> all;
    m_records.forEach([&](Records& records) {
        std::erase_if(records, [&](const auto& item) { return now - item.second.lastEndedAt > keptFor; });
        for (const auto& [fingerprint, record] : records) {
            if (record.crashes >= harmfulAfter)
                all.push_back({ fingerprint, record.lastEndedAt });
        }
    });
    return all;
}

} // namespace redwingseam::forward
