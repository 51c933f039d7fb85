#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::base {

// A JSON text that can be taken apart before it is parsed, so that a part that cannot be parsed does not hide the others.
// The ends of the parts are found by strings and brackets alone. The text must outlive the object.
class JsonText {
public:
    explicit JsonText(std::string_view text)
        : m_text(text)
    {
    }

    std::string_view text() const { return m_text; }
    // Returns the value of a member, the last one if several have this name. Returns nullopt if there is none, or if the
    // text is not a whole object.
    std::optional<JsonText> member(std::string_view name) const;
    // Returns nullopt if the text is not a whole array.
    std::optional<std::vector<JsonText>> elements() const;
    // Returns nullopt if the text is not valid JSON, is nested too deeply, or holds a number beyond a double.
    std::optional<nlohmann::json> parse() const;

private:
    std::string_view m_text;
};

} // namespace redwingseam::base
