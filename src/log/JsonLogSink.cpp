#include "log/JsonLogSink.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unistd.h>

namespace redwingseam::log {

JsonLogSink::JsonLogSink(const char* program)
    : m_writer(STDOUT_FILENO)
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

void JsonLogSink::send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime&, const char* message, size_t length)
{
    using namespace std::chrono;
    std::string_view text(message, length);
    auto millis = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    std::string line = "{\"time_ms\":" + std::to_string(millis) + ",\"level\":\"" + google::GetLogSeverityName(severity) + "\",";
    // A LogLine is already a JSON object; any other message becomes the text of one.
    if (text.starts_with('{'))
        line.append(text.substr(1));
    else
        line.append("\"event\":\"message\",\"text\":").append(nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)).append("}");
    line += '\n';
    m_writer.enqueue(line, severity == google::GLOG_INFO);
}

} // namespace redwingseam::log
