#include "daemon/LogLine.h"

#include <nlohmann/json.hpp>

namespace redwingseam::daemon {

struct LogLine::Fields {
    nlohmann::json json;
};

LogLine::LogLine(std::string_view event)
    : m_fields(std::make_unique<Fields>())
{
    m_fields->json["event"] = event;
}

LogLine::~LogLine() = default;

LogLine& LogLine::with(const char* key, std::string_view value)
{
    m_fields->json[key] = value;
    return *this;
}

LogLine& LogLine::with(const char* key, uint64_t value)
{
    m_fields->json[key] = value;
    return *this;
}

std::string LogLine::text() const
{
    return m_fields->json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace redwingseam::daemon
