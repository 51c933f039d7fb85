#include "forward/EventSplitter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace redwingseam::forward {

static std::optional<uint64_t> parseEventId(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    size_t begin = 0;
    while (begin < event.size()) {
        auto end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        uint64_t id = 0;
        auto [rest, failure] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (failure == std::errc {} && rest == line.data() + line.size())
            return id;
    }
    return std::nullopt;
}

static bool hasContent(std::string_view event)
{
    auto hasField = [&](std::string_view field) {
        return event.starts_with(field) || event.find(std::string("\n").append(field)) != std::string_view::npos;
    };
    return hasField("data") || hasField("id");
}

// Field names are in lower case and have no spaces. An error message, or the head of a response, is told apart by that.
static bool isFieldName(std::string_view name)
{
    auto isNameCharacter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; };
    return !name.empty() && std::all_of(name.begin(), name.end(), isNameCharacter);
}

static bool isKnownField(std::string_view name)
{
    static constexpr std::array<std::string_view, 4> names { "data", "id", "event", "retry" };
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Returns whether each line is a comment or a field, and one of them is a comment or a field of event streams. Other
// fields may stand beside these.
static bool isWellFormed(std::string_view event)
{
    bool isEmpty = true;
    bool isKnown = false;
    for (size_t begin = 0; begin < event.size();) {
        auto end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty())
            continue;
        isEmpty = false;
        auto name = line.substr(0, line.find(':'));
        bool isComment = line.front() == ':';
        if (!isComment && !isFieldName(name))
            return false;
        isKnown = isKnown || isComment || isKnownField(name);
    }
    return isEmpty || isKnown;
}

// Returns the position after the blank line that ends the first event of `text`, or npos.
static size_t findEventEnd(std::string_view text)
{
    size_t begin = 0;
    while (true) {
        auto end = text.find('\n', begin);
        if (end == std::string_view::npos)
            return std::string_view::npos;
        auto length = end - begin;
        // A blank line at the start of `text` does not end an event.
        bool isBlank = begin > 0 && (length == 0 || (length == 1 && text[begin] == '\r'));
        if (isBlank)
            return end + 1;
        begin = end + 1;
    }
}

std::vector<StreamEvent> EventSplitter::push(std::string_view bytes)
{
    m_partial.append(bytes);
    std::vector<StreamEvent> events;
    std::string_view rest = m_partial;
    for (auto end = findEventEnd(rest); end != std::string_view::npos; end = findEventEnd(rest)) {
        auto event = rest.substr(0, end);
        events.push_back({ std::string(event), parseEventId(event), hasContent(event), isWellFormed(event) });
        rest.remove_prefix(end);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return events;
}

} // namespace redwingseam::forward
