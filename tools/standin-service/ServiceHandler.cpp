#include "ServiceHandler.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace redwingseam::standin {

ServiceHandler::Response ServiceHandler::handle(const http::ServerRequest& request)
{
    if (request.path == "/call" && request.method == "POST")
        return call(request);
    if (request.path == "/counts")
        return counts();
    if (request.path == "/v1/load")
        return { 200, R"({"running":0,"waiting":0,"leaving":false})" };
    return { 404, "{}" };
}

ServiceHandler::Response ServiceHandler::call(const http::ServerRequest& request)
{
    std::lock_guard guard(m_mutex);
    auto key = request.header("Idempotency-Key");
    auto runCount = ++m_runCounts[key];
    return { 200, nlohmann::json { { "ran", runCount }, { "echo", request.body } }.dump() };
}

ServiceHandler::Response ServiceHandler::counts()
{
    std::lock_guard guard(m_mutex);
    return { 200, nlohmann::json(m_runCounts).dump() };
}

} // namespace redwingseam::standin
