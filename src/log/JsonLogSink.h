#pragma once

#include "log/LineWriter.h"

#include <glog/logging.h>

namespace redwingseam::log {

// Writes glog's messages to standard output as JSON lines and never blocks on the reader. The constructor
// installs the sink and disables glog's own destinations; the destructor removes it.
class JsonLogSink : public google::LogSink {
public:
    explicit JsonLogSink(const char* program);
    ~JsonLogSink() override;

    void send(google::LogSeverity, const char* fullFilename, const char* baseFilename, int line, const google::LogMessageTime&, const char* message, size_t length) override;

private:
    LineWriter m_writer;
};

} // namespace redwingseam::log
