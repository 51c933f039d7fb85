#include "gateway/LocalResponse.h"
#include "gateway/HeaderUtils.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace redwingseam::gateway {

static std::string formatSeconds(base::Duration duration)
{
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%lld.%03lld", static_cast<long long>(millis / 1000), static_cast<long long>(millis % 1000));
    return text.data();
}

std::string serializeLocalResponse(const LocalResponse& response)
{
    std::string body = "{\"error\":\"";
    body.append(base::nameOf(response.code)).append("\",\"code\":").append(std::to_string(static_cast<unsigned>(response.code))).append("}");
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text.append(boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status)));
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (response.retryAfter)
        text.append("Retry-After: ").append(formatSeconds(*response.retryAfter)).append("\r\n");
    text.append(persistenceHeaders(response.idleTimeout)).append("\r\n");
    return response.isHeadRequest ? text : text.append(body);
}

} // namespace redwingseam::gateway
