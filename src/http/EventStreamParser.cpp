#include "http/EventStreamParser.h"

namespace redwingseam::http {

static bool parseField(std::string_view line, std::string_view field, std::string& target)
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

void EventStreamParser::parseLine(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        m_isEventComplete = !m_event.data.empty() || !m_event.name.empty();
        return;
    }
    if (!parseField(line, "data:", m_event.data))
        parseField(line, "event:", m_event.name);
}

} // namespace redwingseam::http
