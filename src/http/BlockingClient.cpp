#include "http/BlockingClient.h"

#include "http/ResponseHead.h"

#include <chrono>

namespace redwingseam::http {

namespace {

    struct BoundedBody {
        std::string& text;
        size_t maxBytes;
    };

} // namespace

// libcurl breaks off the transfer if not all bytes are taken.
static size_t appendBody(char* bytes, size_t size, size_t count, void* userData)
{
    auto& body = *static_cast<BoundedBody*>(userData);
    if (size * count > body.maxBytes - body.text.size())
        return 0;
    body.text.append(bytes, size * count);
    return size * count;
}

BlockingClient::BlockingClient()
    : m_easy(curl_easy_init())
{
}

BlockingClient::~BlockingClient()
{
    curl_easy_cleanup(m_easy);
}

HttpResult exchange(const HttpRequest& request)
{
    return BlockingClient().exchange(request);
}

HttpResult BlockingClient::exchange(const HttpRequest& request)
{
    using Millis = std::chrono::milliseconds;
    HttpResult result;
    auto* easy = m_easy;
    // Clears the options of the previous request but keeps open connections.
    curl_easy_reset(easy);
    curl_slist* headers = nullptr;
    for (const auto& header : request.headers)
        headers = curl_slist_append(headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    BoundedBody body { result.body, request.maxBodyBytes };
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
    ResponseHead head;
    head.watch(easy);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.isSingleUse ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<Millis>(request.timeout).count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<Millis>(request.connectTimeout).count()));
    auto code = curl_easy_perform(easy);
    result.isComplete = head.isWholeResponse(easy, code);
    result.isSent = result.isComplete;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &result.status);
    curl_header* wanted = nullptr;
    if (!request.wantedHeader.empty() && curl_easy_header(easy, request.wantedHeader.c_str(), 0, CURLH_HEADER, -1, &wanted) == CURLHE_OK)
        result.wantedHeader = wanted->value;
    curl_slist_free_all(headers);
    return result;
}

} // namespace redwingseam::http
