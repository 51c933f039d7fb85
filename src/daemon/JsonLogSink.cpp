#include "daemon/JsonLogSink.h"

#include <chrono>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string_view>

namespace redwingseam::daemon {

JsonLogSink::JsonLogSink(const char* program)
{
    google::InitGoogleLogging(program);
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::AddLogSink(this);
}

JsonLogSink::~JsonLogSink()
{
    google::RemoveLogSink(this);
    google::ShutdownGoogleLogging();
}

void JsonLogSink::send(google::LogSeverity severity, const char*, const char* baseFilename, int line, const google::LogMessageTime&, const char* message, size_t length)
{
    using namespace std::chrono;
    std::string_view text(message, length);
    auto entry = nlohmann::json::parse(text, nullptr, false);
    if (!entry.is_object())
        entry = { { "event", "message" }, { "text", text } };
    entry["time_ms"] = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    entry["level"] = google::GetLogSeverityName(severity);
    entry["source"] = std::string(baseFilename) + ":" + std::to_string(line);
    auto out = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::lock_guard guard(m_mutex);
    std::fwrite(out.data(), 1, out.size(), stderr);
}

} // namespace redwingseam::daemon
