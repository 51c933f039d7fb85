#include "redwingseam/node/CallerRequest.h"

#include "base/Hash.h"

namespace redwingseam::node {

base::Fingerprint fingerprintOf(const CallerRequest& request)
{
    auto hash = base::hashBytes(request.target, static_cast<uint64_t>(request.kind));
    hash = base::hashBytes(request.content, hash);
    return { base::hashCombine(hash, request.maxTokens) };
}

} // namespace redwingseam::node
