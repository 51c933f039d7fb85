#include "base/JsonScanner.h"

#include <algorithm>

namespace redwingseam::base {

bool JsonScanner::isAtEnd()
{
    m_position = std::min(m_text.find_first_not_of(whiteSpace, m_position), m_text.size());
    return m_position == m_text.size();
}

bool JsonScanner::skip(char expected)
{
    if (isAtEnd() || m_text[m_position] != expected)
        return false;
    ++m_position;
    return true;
}

std::optional<std::string_view> JsonScanner::value()
{
    if (isAtEnd())
        return std::nullopt;
    auto begin = m_position;
    auto first = m_text[begin];
    bool isContainer = first == '{' || first == '[';
    bool isWhole = first == '"' ? skipString() : (isContainer ? skipContainer() : skipLiteral());
    if (!isWhole)
        return std::nullopt;
    return m_text.substr(begin, m_position - begin);
}

bool JsonScanner::skipString()
{
    for (++m_position; m_position < m_text.size(); ++m_position) {
        auto byte = m_text[m_position];
        if (byte == '\\') {
            ++m_position;
        } else if (byte == '"') {
            ++m_position;
            return true;
        }
    }
    return false;
}

bool JsonScanner::skipContainer()
{
    size_t depth = 0;
    while (m_position < m_text.size()) {
        auto byte = m_text[m_position];
        if (byte == '"') {
            if (!skipString())
                return false;
            continue;
        }
        ++m_position;
        if (byte == '{' || byte == '[')
            ++depth;
        else if ((byte == '}' || byte == ']') && !--depth)
            return true;
    }
    return false;
}

bool JsonScanner::skipLiteral()
{
    static constexpr std::string_view ends = " \t\r\n,:]}";
    auto begin = m_position;
    m_position = std::min(m_text.find_first_of(ends, begin), m_text.size());
    return m_position > begin;
}

} // namespace redwingseam::base
