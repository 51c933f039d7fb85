#include "node/BlameDesk.h"

namespace redwingseam::node {

static constexpr base::Duration verdictKept = std::chrono::hours(1);

route::Verdict BlameDesk::verdict(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_book.verdict(fingerprint);
}

std::vector<membership::VerdictRecord> BlameDesk::onUpstreamLost(const route::DeathId& death, std::span<const route::Casualty> casualties, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return m_book.onUpstreamLost(death, casualties, now);
}

void BlameDesk::learn(const membership::VerdictRecord& record, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_book.learn(record, now);
}

std::vector<membership::VerdictRecord> BlameDesk::judge(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return m_book.judge(now);
}

void BlameDesk::disprove(const route::DeathId& death)
{
    std::lock_guard guard(m_mutex);
    m_book.disprove(death);
}

void BlameDesk::clear(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    m_book.clear(fingerprint);
}

bool BlameDesk::isHeard(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_book.isHeard(fingerprint);
}

base::Instant BlameDesk::hearingEnd(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_book.hearingEnd(fingerprint);
}

route::SuspectPlace BlameDesk::place(base::Fingerprint fingerprint)
{
    std::lock_guard guard(m_mutex);
    return m_book.place(fingerprint);
}

void BlameDesk::expire(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    m_book.expire(now - verdictKept);
}

} // namespace redwingseam::node
