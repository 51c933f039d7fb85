#include "log/LogLine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwingseam::log {

LogLine::LogLine(std::string_view event)
    : m_text("{\"event\":")
{
    appendString(event);
}

LogLine& LogLine::with(std::string_view key, std::string_view value)
{
    m_text += ',';
    appendString(key);
    m_text += ':';
    appendString(value);
    return *this;
}

LogLine& LogLine::with(std::string_view key, uint64_t value)
{
    m_text += ',';
    appendString(key);
    m_text += ':' + std::to_string(value);
    return *this;
}

void LogLine::appendString(std::string_view text)
{
    bool isPlain = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; });
    if (isPlain)
        m_text.append("\"").append(text).append("\"");
    else
        m_text += nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace redwingseam::log
