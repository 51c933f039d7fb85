#include "node/BlameDesk.h"

namespace redwingseam::node {

static constexpr base::Duration verdictKept = std::chrono::hours(1);

route::Verdict BlameDesk::verdict(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_book.verdict(fingerprint);
}

std::vector<route::VerdictChange> BlameDesk::onUpstreamLost(const base::UpstreamName& upstream, std::span<const route::Casualty> casualties, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    auto changes = m_book.onUpstreamLost(casualties, now);
    for (const auto& change : changes) {
        if (change.verdict == route::Verdict::Suspected)
            m_ownDeaths.try_emplace(change.fingerprint, upstream);
        else
            m_ownDeaths.erase(change.fingerprint);
    }
    return changes;
}

bool BlameDesk::learn(const membership::VerdictRecord& record, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    auto own = m_ownDeaths.find(record.fingerprint);
    bool isSecondDeath = own != m_ownDeaths.end() && own->second != record.upstream;
    bool wasConvicted = m_book.verdict(record.fingerprint) == route::Verdict::Convicted;
    bool isConvicted = record.isConvicted || isSecondDeath;
    m_book.learn(record.fingerprint, isConvicted ? route::Verdict::Convicted : route::Verdict::Suspected, now);
    return isConvicted && !wasConvicted;
}

void BlameDesk::expire(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_book.expire(now - verdictKept);
    std::erase_if(m_ownDeaths, [&](const auto& item) { return m_book.verdict(item.first) == route::Verdict::Clear; });
}

} // namespace redwingseam::node
