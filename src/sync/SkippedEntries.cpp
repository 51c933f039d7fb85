#include "sync/SkippedEntries.h"

#include <utility>

namespace redwingseam::sync {

void SkippedEntries::replace(const std::vector<base::UpstreamName>& names)
{
    std::set<base::UpstreamName> current(names.begin(), names.end());
    m_isChanged = m_isChanged || current != m_names;
    m_names = std::move(current);
}

void SkippedEntries::add(const base::UpstreamName& name)
{
    m_isChanged = m_names.insert(name).second || m_isChanged;
}

void SkippedEntries::remove(const base::UpstreamName& name)
{
    m_isChanged = m_names.erase(name) || m_isChanged;
}

bool SkippedEntries::takeChange()
{
    return std::exchange(m_isChanged, false);
}

std::string SkippedEntries::summary() const
{
    static constexpr size_t maxNames = 8;
    static constexpr size_t maxNameBytes = 64;
    std::string text;
    size_t count = 0;
    for (const auto& name : m_names) {
        if (count++ == maxNames)
            return text + " ...";
        text.append(count > 1 ? " " : "").append(name.text.empty() ? "(no name)" : name.text.substr(0, maxNameBytes));
    }
    return text;
}

} // namespace redwingseam::sync
