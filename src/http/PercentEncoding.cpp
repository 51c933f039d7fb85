#include "http/PercentEncoding.h"

namespace redwingseam::http {

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (auto character : text) {
        auto byte = static_cast<unsigned char>(character);
        if (unreserved.find(character) != std::string_view::npos)
            encoded += character;
        else
            (encoded += '%').append({ digits[byte >> 4U], digits[byte & 15U] });
    }
    return encoded;
}

} // namespace redwingseam::http
