#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/node/RequestKind.h"
#include "redwingseam/stream/ResumePoint.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::node {

// A caller's request, already authenticated and parsed. The front end chooses `id`, unique at the node.
struct CallerRequest {
    base::RequestId id;
    RequestKind kind = RequestKind::Generation;
    base::ClientName client;
    base::WorkName work;
    // A caller may ask for a lower rank than its settings give, not for a higher one.
    std::optional<base::Rank> requestedRank;

    // Generation: model name such as `draft`, or a pool such as `draft@3` to pin the version.
    // Service call: name of the service.
    std::string target;
    // Prompt of a generation, body of a service call.
    std::string content;
    uint32_t maxTokens = 0;
    uint64_t seed = 0;

    // Service call: key under which a non-idempotent call runs at most once.
    std::optional<base::IdempotencyKey> key;

    // Generation that a caller takes up again: how far it has read, and, where it kept them, the ids
    // of those tokens.
    std::optional<stream::ResumePoint> resume;
    std::vector<uint32_t> resumeTokenIds;
};

// What makes two requests the same work: kind, target, content and length, whoever sends it.
base::Fingerprint fingerprintOf(const CallerRequest&);

} // namespace redwingseam::node
