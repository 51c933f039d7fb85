#pragma once

#include <optional>
#include <string_view>

namespace redwingseam::base {

// Finds where the values of a JSON text end. Checks nothing within a value but strings and brackets, and does not recurse.
class JsonScanner {
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {
    }

    // Skips white space. Returns whether nothing follows.
    bool isAtEnd();
    // Skips white space and `expected`. Returns whether it followed.
    bool skip(char expected);
    // Skips white space and returns the value that follows, or nullopt if it does not end.
    std::optional<std::string_view> value();

private:
    static constexpr std::string_view whiteSpace = " \t\r\n";

    bool skipString();
    bool skipContainer();
    bool skipLiteral();

    std::string_view m_text;
    size_t m_position = 0;
};

} // namespace redwingseam::base
