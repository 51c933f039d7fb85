#pragma once

#include "daemon/VmIo.h"
#include "daemon/VmNode.h"
#include "http/NoStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

namespace redwingseam::daemon {

// Serves the read-only admin port: /healthz, /readyz, /metrics, /status and /report.
class AdminHandler {
public:
    using Stream = http::NoStream;
    using Response = http::ServerResponse<Stream>;

    AdminHandler(VmNode& node, VmIo& io)
        : m_node(node)
        , m_io(io)
    {
    }

    Response handle(const http::ServerRequest&);

private:
    Response readiness();
    Response metrics();

    VmNode& m_node;
    VmIo& m_io;
};

} // namespace redwingseam::daemon
