#pragma once

#include "redwingseam/node/CallerRequest.h"

#include <string>

namespace redwingseam::fakes {

inline node::CallerRequest generationRequest(const std::string& prompt, uint32_t maxTokens, const std::string& client = "client-a")
{
    node::CallerRequest request;
    request.client.text = client;
    request.target = "draft";
    request.content = prompt;
    request.maxTokens = maxTokens;
    request.seed = 7;
    return request;
}

// Returns a call of the service `booking`, which isn't idempotent.
inline node::CallerRequest bookingRequest(const std::string& key)
{
    node::CallerRequest request;
    request.kind = node::RequestKind::ServiceCall;
    request.client.text = "client-a";
    request.work.text = "booking";
    request.target = "booking";
    request.content = "slot";
    request.key = base::IdempotencyKey { key };
    return request;
}

// Returns a call of the service `lookup`, which is idempotent.
inline node::CallerRequest lookupRequest()
{
    node::CallerRequest request;
    request.kind = node::RequestKind::ServiceCall;
    request.client.text = "client-a";
    request.work.text = "lookup";
    request.target = "lookup";
    return request;
}

} // namespace redwingseam::fakes
