#pragma once

#include "log/LineWriter.h"

#include <glog/logging.h>

namespace redwingseam::log {

// Writes glog's messages to standard output as JSON lines, without ever waiting for the reader.
// Installed while it lives; glog's own destinations are switched off.
class JsonLogSink : public google::LogSink {
public:
    explicit JsonLogSink(const char* program);
    ~JsonLogSink() override;

    void send(google::LogSeverity, const char* fullFilename, const char* baseFilename, int line, const google::LogMessageTime&, const char* message, size_t length) override;

private:
    LineWriter m_writer;
};

} // namespace redwingseam::log
