#include "replication/ListCheck.h"

#include <algorithm>

namespace redwingseam::replication {

void ListCheck::begin(const sync::NodeRecord& self, bool isReader, const std::vector<sync::NodeRecord>& witnesses, base::Instant now)
{
    m_beganAt = now;
    m_hasReplied.clear();
    m_witnessCount = witnesses.size();
    m_replyCount = 0;
    m_hasReaderReplied = isReader;
    m_newest = {};
    for (const auto& witness : witnesses)
        m_hasReplied.try_emplace(witness.dataCentre, false);
    // A node that is alone in its data centre speaks for it.
    m_hasReplied.try_emplace(self.dataCentre, true);
}

void ListCheck::recordReply(const OriginReply& reply)
{
    if (reply.listCheck != sequence())
        return;
    ++m_replyCount;
    m_newest = std::max(m_newest, reply.listVersion);
    m_hasReaderReplied = m_hasReaderReplied || reply.isReader;
    if (auto found = m_hasReplied.find(reply.from.dataCentre); found != m_hasReplied.end())
        found->second = true;
}

bool ListCheck::hasSucceeded(sync::StoreVersion held, base::Instant now) const
{
    if (held < m_newest || !m_hasReaderReplied || (m_replyCount < m_witnessCount && now - m_beganAt < replyTime))
        return false;
    auto replied = std::count_if(m_hasReplied.begin(), m_hasReplied.end(), [](const auto& item) { return item.second; });
    return 2 * static_cast<size_t>(replied) > m_hasReplied.size();
}

} // namespace redwingseam::replication
