#pragma once

#include <curl/curl.h>
#include <string_view>

namespace redwingseam::http {

// Watches whether the head of a response arrives as a whole, and breaks off one without end. libcurl takes a response whose
// connection closes within the head for a complete one with an empty body, and keeps all header lines in memory.
class ResponseHead {
public:
    // Must be called before the transfer starts. The object must outlive the transfer.
    void watch(CURL* easy)
    {
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &ResponseHead::onLine);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    }

    // Returns whether the transfer, which ended with `code`, brought a whole response.
    bool isWholeResponse(CURL* easy, CURLcode code) const
    {
        static constexpr long firstFinalStatus = 200;
        static constexpr long lastStatus = 599;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        return code == CURLE_OK && m_isEnded && status >= firstFinalStatus && status <= lastStatus;
    }

private:
    static size_t onLine(char* bytes, size_t size, size_t count, void* self)
    {
        std::string_view line(bytes, size * count);
        auto& head = *static_cast<ResponseHead*>(self);
        head.m_bytes += line.size();
        if (head.m_bytes > maxBytes)
            return 0;
        auto& isEnded = head.m_isEnded;
        // The head of the final response follows that of an interim one.
        if (line.starts_with("HTTP/"))
            isEnded = false;
        else if (line == "\r\n" || line == "\n")
            isEnded = true;
        return line.size();
    }

    // Of all header lines, also those of interim responses and of trailers.
    static constexpr size_t maxBytes = 64 * 1024;

    bool m_isEnded = false;
    size_t m_bytes = 0;
};

} // namespace redwingseam::http
