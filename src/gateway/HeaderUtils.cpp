#include "gateway/HeaderUtils.h"

#include "base/AsciiCase.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace redwingseam::gateway {

namespace http = boost::beast::http;

void removeHopByHopHeaders(http::fields& headers)
{
    std::vector<std::string> named;
    auto [begin, end] = headers.equal_range(http::field::connection);
    for (auto line = begin; line != end; ++line) {
        for (const auto& token : http::token_list(line->value()))
            named.emplace_back(token);
    }
    for (const auto& name : named)
        headers.erase(name);
    static constexpr std::array alwaysRemoved { http::field::connection, http::field::keep_alive, http::field::proxy_connection,
        http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade, http::field::content_length, http::field::expect };
    for (auto field : alwaysRemoved)
        headers.erase(field);
}

bool hasOversizedField(const http::fields& headers)
{
    static constexpr size_t maxFieldBytes = 60 * 1024;
    return std::any_of(headers.begin(), headers.end(), [](const http::fields::value_type& line) { return line.name_string().size() > maxFieldBytes || line.value().size() > maxFieldBytes; });
}

std::string serializeHeaders(const http::fields& headers)
{
    std::string text;
    for (const auto& line : headers) {
        text.append(line.name_string()).append(": ").append(line.value());
        text.append("\r\n");
    }
    return text;
}

std::string persistenceHeaders(std::optional<base::Duration> idleTimeout)
{
    if (!idleTimeout)
        return "Connection: close\r\n";
    auto seconds = std::chrono::floor<std::chrono::seconds>(*idleTimeout).count();
    // The header has no fractions, and zero would ask the client to close at once.
    return seconds ? "Connection: keep-alive\r\nKeep-Alive: timeout=" + std::to_string(seconds) + "\r\n" : std::string();
}

std::string hostOf(const http::fields& headers)
{
    std::string_view host = headers[http::field::host];
    auto colon = host.rfind(':');
    bool hasPort = colon != std::string_view::npos && std::all_of(host.begin() + static_cast<long>(colon) + 1, host.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
    return base::lowerCase(hasPort ? host.substr(0, colon) : host);
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

} // namespace redwingseam::gateway
