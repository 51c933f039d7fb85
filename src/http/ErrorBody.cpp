#include "http/ErrorBody.h"

#include "http/HttpStatus.h"

#include <nlohmann/json.hpp>

namespace redwingseam::http {

std::string dumpJson(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string errorBody(const base::Error& error, std::string_view runState)
{
    return dumpJson({ { "error", { { "code", static_cast<unsigned>(error.code) }, { "name", base::nameOf(error.code) }, { "detail", error.detail }, { "run", runState } } } });
}

void setErrorResponse(CallerConnection& connection, const base::Error& error, std::string_view runState)
{
    connection.status = httpStatusOf(error.code);
    connection.outgoing = errorBody(error, runState);
    connection.areHeadersReady = true;
    connection.isEnded = true;
}

} // namespace redwingseam::http
