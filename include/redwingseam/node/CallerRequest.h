#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/node/RequestKind.h"
#include "redwingseam/stream/ResumePoint.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::node {

// Request of a caller, already authenticated and parsed. The front end chooses `id`, which is unique on
// the node.
struct CallerRequest {
    base::RequestId id;
    RequestKind kind = RequestKind::Generation;
    base::ClientName client;
    base::WorkName work;
    // Overrides the rank from the settings, but only with a less urgent one. A more urgent one is ignored.
    std::optional<base::Rank> requestedRank;

    // Generation: a model name such as `draft`, or a pool such as `draft@3` to pin the version.
    // Service call: the name of the service.
    std::string target;
    // Generation: the prompt. Service call: the body.
    std::string content;
    // Generation: limit on the tokens of the whole answer, including those delivered before a resume.
    uint32_t maxTokens = 0;
    // Generation: sampling seed. A resumed request uses the seed of its resume point.
    uint64_t seed = 0;

    // Service call: idempotency key under which a non-idempotent call runs at most once.
    std::optional<base::IdempotencyKey> key;

    // Resumed generation: how far the caller has read, and the ids of those tokens if the caller kept
    // them. Without the ids, the answer is generated again and compared with the resume point.
    std::optional<stream::ResumePoint> resume;
    std::vector<uint32_t> resumeTokenIds;
};

// Returns a hash of kind, target, content and `maxTokens`. Requests with equal fingerprints count as the
// same work, whichever client sends them.
base::Fingerprint fingerprintOf(const CallerRequest&);

} // namespace redwingseam::node
