#include "gateway/RequestTarget.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <optional>
#include <string>

namespace redwingseam::gateway {

namespace http = boost::beast::http;

static std::optional<std::string_view> withoutScheme(std::string_view target)
{
    static constexpr std::array<std::string_view, 2> schemes { "http://", "https://" };
    for (auto scheme : schemes) {
        if (boost::beast::iequals(target.substr(0, scheme.size()), scheme))
            return target.substr(scheme.size());
    }
    return std::nullopt;
}

void convertAbsoluteTarget(http::request_header<>& header)
{
    const std::string target(header.target());
    auto rest = withoutScheme(target);
    if (!rest)
        return;
    auto authorityEnd = std::min(rest->find_first_of("/?"), rest->size());
    if (!authorityEnd)
        return;
    header.set(http::field::host, rest->substr(0, authorityEnd));
    std::string relative(rest->substr(authorityEnd));
    header.target(relative.starts_with('/') ? relative : "/" + relative);
}

} // namespace redwingseam::gateway
