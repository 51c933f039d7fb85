#include "http/EventLines.h"

namespace redwingseam::http {

static bool takeField(std::string_view line, std::string_view field, std::string& target)
{
    if (!line.starts_with(field))
        return false;
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!target.empty())
        target += '\n';
    target += line;
    return true;
}

void EventLines::takeLine(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        m_isComplete = !m_event.data.empty() || !m_event.name.empty();
        return;
    }
    if (!takeField(line, "data:", m_event.data))
        takeField(line, "event:", m_event.name);
}

} // namespace redwingseam::http
