#pragma once

#include "GenerationStream.h"
#include "http/ServerRequest.h"
#include "http/ServerResponse.h"

namespace redwingseam::standin {

// HTTP interface of the stand-in engine: POST /v1/generate, GET /v1/load, and fault injection under
// /admin.
class EngineHandler {
public:
    using Stream = GenerationStream;
    using Response = http::ServerResponse<Stream>;

    explicit EngineHandler(Engine& engine)
        : m_engine(engine)
    {
    }

    Response handle(const http::ServerRequest&);

private:
    Response generate(const http::ServerRequest&);
    Response load();
    Response handleAdmin(const http::ServerRequest&);

    Engine& m_engine;
};

} // namespace redwingseam::standin
