#include "forward/FormatParts.h"

#include <array>
#include <charconv>

namespace redwingseam::forward {

std::string formatParts(std::span<const base::PromptPartHash> parts)
{
    static constexpr int hexadecimal = 16;
    std::string text;
    for (auto part : parts) {
        std::array<char, 16> digits {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part.value, hexadecimal).ptr;
        text.append(text.empty() ? "" : ",").append(digits.data(), end);
    }
    return text;
}

} // namespace redwingseam::forward
