#include "CheckingCaller.h"

#include "base/MonotonicClock.h"
#include "codec/JsonReader.h"
#include "http/ResponseHead.h"
#include "standin/DeterministicModel.h"

#include <algorithm>
#include <curl/curl.h>

namespace redwingseam::standin {

CallResult CheckingCaller::run()
{
    m_startedAt = base::MonotonicClock {}.now();
    m_lastChunkAt = m_startedAt;
    for (uint32_t attempt = 0; attempt <= m_options.maxReconnects && !m_isFinished; ++attempt) {
        m_result.reconnects = attempt;
        m_eventParser = {};
        m_result.error.clear();
        runAttempt(m_options.targets[attempt % m_options.targets.size()]);
    }
    bool hasAllTokens = m_result.tokens == m_options.maxTokens;
    m_result.isComplete = m_result.isComplete && hasAllTokens;
    return m_result;
}

std::string CheckingCaller::body() const
{
    nlohmann::json body {
        { "model", m_options.model },
        { "prompt", m_options.prompt },
        { "max_tokens", m_options.maxTokens },
        { "seed", m_options.seed },
        { "rank", base::nameOf(m_options.rank) },
    };
    if (!m_options.work.empty())
        body["work"] = m_options.work;
    if (!m_lastEventId.empty() && m_options.sendsReceivedTokens)
        body["received"] = m_received;
    return body.dump();
}

void CheckingCaller::runAttempt(const std::string& target)
{
    auto* easy = curl_easy_init();
    auto content = body();
    curl_slist* headers = nullptr;
    headers = curl_slist_append(headers, ("Authorization: Bearer " + m_options.key).c_str());
    headers = curl_slist_append(headers, "Content-Type: application/json");
    if (!m_lastEventId.empty())
        headers = curl_slist_append(headers, ("Last-Event-ID: " + m_lastEventId).c_str());
    auto url = target + "/v1/completions";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(content.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, content.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CheckingCaller::onWrite);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    http::ResponseHead head;
    head.watch(easy);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    auto code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    bool isWhole = head.isWholeResponse(easy, code);
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    if (m_isFinished)
        return;
    // A broken connection, an incomplete stream and a status 503 are retried. Any other error status is final.
    static constexpr long httpServiceUnavailable = 503;
    bool isRejected = isWhole && status != 200;
    m_result.error = code == CURLE_OK ? "status " + std::to_string(status) + " " + m_responseBuffer : curl_easy_strerror(code);
    m_isFinished = isRejected && status != httpServiceUnavailable;
}

size_t CheckingCaller::onWrite(char* bytes, size_t size, size_t count, void* self)
{
    auto& caller = *static_cast<CheckingCaller*>(self);
    std::string_view data(bytes, size * count);
    caller.m_responseBuffer.append(data);
    caller.m_eventParser.feed(data, [&](const http::ServerSentEvent& event) { caller.onEvent(event); });
    return data.size();
}

void CheckingCaller::onEvent(const http::ServerSentEvent& event)
{
    // The first id line in the buffer belongs to the event that has just been parsed.
    static constexpr std::string_view idField = "id: ";
    auto at = m_responseBuffer.find(idField);
    if (at != std::string::npos) {
        auto end = m_responseBuffer.find('\n', at);
        m_lastEventId = m_responseBuffer.substr(at + idField.size(), end - at - idField.size());
    }
    auto eventEnd = m_responseBuffer.find("\n\n");
    m_responseBuffer.erase(0, eventEnd == std::string::npos ? 0 : eventEnd + 2);
    if (event.name == "done") {
        auto document = nlohmann::json::parse(event.data, nullptr, false);
        codec::JsonReader reader(document);
        m_result.resumes += static_cast<uint32_t>(reader.number("resumes"));
        m_result.isComplete = reader.number("total") == m_result.tokens;
        m_isFinished = true;
    } else if (event.name == "error") {
        m_result.error = event.data;
        m_isFinished = true;
    } else {
        onChunk(event.data);
    }
}

void CheckingCaller::onChunk(std::string_view json)
{
    recordChunkTime();
    auto document = nlohmann::json::parse(json, nullptr, false);
    codec::JsonReader reader(document);
    auto index = static_cast<uint32_t>(reader.number("index"));
    std::string expectedText;
    for (const auto& item : reader.array("tokens")) {
        auto expected = tokenAt(m_options.prompt, m_options.seed, index);
        bool isExpected = index == m_result.tokens && item.is_number_unsigned() && item.get<uint32_t>() == expected.id;
        m_result.wrongTokens += isExpected ? 0 : 1;
        expectedText += expected.text;
        m_received.push_back(expected.id);
        ++m_result.tokens;
        ++index;
    }
    m_result.wrongTokens += reader.text("text") == expectedText ? 0 : 1;
}

void CheckingCaller::recordChunkTime()
{
    using Millis = std::chrono::milliseconds;
    auto now = base::MonotonicClock {}.now();
    auto gap = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(now - m_lastChunkAt).count());
    if (!m_result.tokens)
        m_result.firstTokenMs = gap;
    else
        m_result.longestGapMs = std::max(m_result.longestGapMs, gap);
    m_lastChunkAt = now;
}

} // namespace redwingseam::standin
