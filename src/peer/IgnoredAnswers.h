#pragma once

#include "http/HttpResult.h"
#include "peer/NoTag.h"

#include <string_view>

namespace redwingseam::peer {

// Drops the answers to messages: peers answer with messages of their own.
struct IgnoredAnswers {
    using Tag = NoTag;

    bool onData(Tag&, long, std::string_view) { return true; }
    void onDone(Tag&, const http::HttpResult&) { }
};

} // namespace redwingseam::peer
