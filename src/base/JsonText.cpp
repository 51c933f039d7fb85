#include "base/JsonText.h"

#include "base/BoundedJsonBuilder.h"
#include "base/JsonScanner.h"

namespace redwingseam::base {

using nlohmann::json;

std::optional<JsonText> JsonText::member(std::string_view name) const
{
    JsonScanner scanner(m_text);
    if (!scanner.skip('{'))
        return std::nullopt;
    std::optional<JsonText> found;
    bool isFirst = true;
    while (!scanner.skip('}')) {
        if (!isFirst && !scanner.skip(','))
            return std::nullopt;
        isFirst = false;
        auto key = scanner.value();
        if (!key || !scanner.skip(':'))
            return std::nullopt;
        auto value = scanner.value();
        if (!value)
            return std::nullopt;
        bool isMatch = key->size() == name.size() + 2 && key->front() == '"' && key->substr(1, name.size()) == name;
        if (isMatch)
            found = JsonText(*value);
    }
    return scanner.isAtEnd() ? found : std::nullopt;
}

std::optional<std::vector<JsonText>> JsonText::elements() const
{
    JsonScanner scanner(m_text);
    if (!scanner.skip('['))
        return std::nullopt;
    std::vector<JsonText> elements;
    while (!scanner.skip(']')) {
        if (!elements.empty() && !scanner.skip(','))
            return std::nullopt;
        auto value = scanner.value();
        if (!value)
            return std::nullopt;
        elements.emplace_back(*value);
    }
    if (!scanner.isAtEnd())
        return std::nullopt;
    return elements;
}

std::optional<json> JsonText::parse() const
{
    BoundedJsonBuilder builder(m_text.size());
    if (!json::sax_parse(m_text, &builder, json::input_format_t::json, true))
        return std::nullopt;
    return builder.take();
}

} // namespace redwingseam::base
