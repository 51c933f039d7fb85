#include "http/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace redwingseam::http {

sockaddr_in SocketAddress::native() const
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

base::Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    base::Error invalid { base::ResultCode::SettingsInvalid, "expected an IPv4 address and port such as 127.0.0.1:8080, found \"" + std::string(text) + "\"" };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    SocketAddress address { std::string(text.substr(0, colon)), 0 };
    auto digits = text.substr(colon + 1);
    auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    in_addr parsed {};
    // inet_pton reads up to the first null byte.
    bool isValid = address.ip.find('\0') == std::string::npos && failure == std::errc {} && end == digits.data() + digits.size() && inet_pton(AF_INET, address.ip.c_str(), &parsed) == 1;
    if (!isValid)
        return invalid;
    return address;
}

} // namespace redwingseam::http
