#pragma once

#include "redwingseam/base/Mutex.h"

#include <glog/logging.h>

namespace redwingseam::daemon {

// Writes glog's messages to standard error as JSON lines. Installed while it lives; glog's own
// destinations are switched off.
class JsonLogSink : public google::LogSink {
public:
    explicit JsonLogSink(const char* program);
    ~JsonLogSink() override;

    void send(google::LogSeverity, const char* fullFilename, const char* baseFilename, int line, const google::LogMessageTime&, const char* message, size_t length) override;

private:
    base::Mutex m_mutex;
};

} // namespace redwingseam::daemon
