#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace redwingseam::base {

// Returns the text with the letters A to Z in lower case, whatever the locale.
inline std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return result;
}

} // namespace redwingseam::base
