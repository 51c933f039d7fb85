#include "VmAdmin.h"

#include "http/BlockingClient.h"

namespace redwingseam::cli {

std::optional<std::string> fetchFromVm(const std::string& address, const std::string& path)
{
    static constexpr base::Duration timeout = std::chrono::seconds(3);
    http::HttpRequest request { "GET", "http://" + address + path };
    request.timeout = timeout;
    auto result = http::exchange(request);
    if (!result.isComplete || result.status != 200)
        return std::nullopt;
    return result.body;
}

} // namespace redwingseam::cli
