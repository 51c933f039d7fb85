#include "BlockingStoreClient.h"

#include "codec/ObjectCodec.h"
#include "http/BlockingClient.h"

namespace redwingseam::cli {

static constexpr base::Duration callTimeout = std::chrono::seconds(5);

std::optional<store::StoreChanges> BlockingStoreClient::list(const std::string& prefix) const
{
    http::HttpRequest request { "GET", m_url + "/list?prefix=" + prefix };
    request.timeout = callTimeout;
    auto result = http::exchange(request);
    if (!result.isComplete || result.status != 200)
        return std::nullopt;
    return store::parseStoreChanges(result.body);
}

store::CallOutcome BlockingStoreClient::write(const base::ObjectKey& key, base::ObjectVersion expected, const std::optional<store::ObjectValue>& value, base::ObjectVersion& written) const
{
    static constexpr long statusConflict = 412;
    http::HttpRequest request { value ? "PUT" : "DELETE", m_url + "/objects/" + key.text };
    request.timeout = callTimeout;
    if (value)
        request.body = codec::formatObject(*value);
    request.headers.push_back(expected.value ? "If-Match: " + std::to_string(expected.value) : "If-None-Match: *");
    auto result = http::exchange(request);
    if (auto object = store::parseStoredObject(result.body))
        written = object->version;
    if (!result.isComplete)
        return store::CallOutcome::Unknown;
    if (result.status == statusConflict)
        return store::CallOutcome::Conflict;
    return result.status == 200 ? store::CallOutcome::Done : store::CallOutcome::Unknown;
}

} // namespace redwingseam::cli
