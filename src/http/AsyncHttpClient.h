#pragma once

#include "base/NamedThread.h"
#include "http/HttpRequest.h"
#include "http/ResponseHead.h"
#include "http/TransferHandler.h"
#include "redwingseam/base/Mutex.h"

#include <atomic>
#include <curl/curl.h>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace redwingseam::http {

// Runs many concurrent HTTP requests on one thread. `submit` and `cancel` are thread-safe. A cancelled
// request gets no `onDone`, unless its response is already being delivered. A response is broken off if its body
// exceeds the limit of its request, or all buffered bodies together exceed `maxBufferedBytes`. The destructor stops
// the thread and aborts the requests in progress.
template<TransferHandler Handler>
class AsyncHttpClient {
public:
    using Context = typename Handler::Context;

    static constexpr size_t maxBufferedBytes = 64 * 1024 * 1024;

    AsyncHttpClient(Handler& handler, const std::string& name)
        : m_handler(handler)
        , m_multi(curl_multi_init())
    {
        static constexpr long maxIdleConnections = 4096;
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        m_thread = base::NamedThread(name, [this] { run(); });
    }

    ~AsyncHttpClient()
    {
        stop();
        for (auto& [id, transfer] : m_transfers)
            release(*transfer);
        curl_multi_cleanup(m_multi);
    }

    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    // Stops the thread and waits for it. Requests that are submitted later are never started.
    void stop()
    {
        m_isStopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
    }

    // Starts a request. `id` identifies it for `cancel` and must be unique among the requests in progress.
    void submit(uint64_t id, HttpRequest request, Context context)
    {
        auto transfer = std::make_unique<Transfer>(Transfer { *this, id, std::move(request), std::move(context), {}, nullptr, nullptr, 0, {} });
        {
            std::lock_guard guard(m_mutex);
            m_submitted.push_back(std::move(transfer));
        }
        curl_multi_wakeup(m_multi);
    }

    // Aborts a request. Has no effect if it has already completed.
    void cancel(uint64_t id)
    {
        {
            std::lock_guard guard(m_mutex);
            m_cancelled.push_back(id);
        }
        curl_multi_wakeup(m_multi);
    }

private:
    struct Transfer {
        AsyncHttpClient& client;
        uint64_t id;
        HttpRequest request;
        Context context;
        std::string body;
        CURL* easy;
        curl_slist* headers;
        long status;
        ResponseHead head;
    };

    void run()
    {
        static constexpr int pollMillis = 1000;
        while (!m_isStopping) {
            applyCommands();
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishCompleted();
            curl_multi_poll(m_multi, nullptr, 0, pollMillis, nullptr);
        }
    }

    void applyCommands()
    {
        std::vector<std::unique_ptr<Transfer>> submitted;
        std::vector<uint64_t> cancelled;
        {
            std::lock_guard guard(m_mutex);
            submitted.swap(m_submitted);
            cancelled.swap(m_cancelled);
        }
        for (auto& transfer : submitted)
            start(std::move(transfer));
        for (auto id : cancelled) {
            auto found = m_transfers.find(id);
            if (found == m_transfers.end())
                continue;
            release(*found->second);
            m_transfers.erase(found);
        }
    }

    void start(std::unique_ptr<Transfer> transfer)
    {
        auto* easy = curl_easy_init();
        transfer->easy = easy;
        auto& request = transfer->request;
        for (const auto& header : request.headers)
            transfer->headers = curl_slist_append(transfer->headers, header.c_str());
        // Disables `Expect: 100-continue`, with which libcurl delays an upload by up to a second for an interim
        // response that simple servers do not send.
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (!request.body.empty()) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AsyncHttpClient::onWrite);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
        transfer->head.watch(easy);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        // A small receive buffer lets thousands of open streams fit into the memory of a small VM.
        static constexpr long bufferBytes = 4096;
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, bufferBytes);
        using Millis = std::chrono::milliseconds;
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<Millis>(request.timeout).count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<Millis>(request.connectTimeout).count()));
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        if (request.isSingleUse) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_multi_add_handle(m_multi, easy);
        auto id = transfer->id;
        m_transfers.insert_or_assign(id, std::move(transfer));
    }

    static size_t onWrite(char* bytes, size_t size, size_t count, void* userData)
    {
        auto& transfer = *static_cast<Transfer*>(userData);
        if (!transfer.status)
            curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &transfer.status);
        std::string_view data(bytes, size * count);
        if (transfer.client.m_handler.onData(transfer.context, transfer.status, data))
            return data.size();
        // libcurl breaks off the transfer if not all bytes are taken.
        return transfer.client.buffer(transfer, data) ? data.size() : 0;
    }

    bool buffer(Transfer& transfer, std::string_view data)
    {
        if (data.size() > transfer.request.maxBodyBytes - transfer.body.size() || data.size() > maxBufferedBytes - m_bufferedBytes)
            return false;
        transfer.body.append(data);
        m_bufferedBytes += data.size();
        return true;
    }

    void finishCompleted()
    {
        int remaining = 0;
        while (auto* message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(*transfer, message->data.result);
        }
    }

    void finish(Transfer& transfer, CURLcode code)
    {
        HttpResult result;
        result.isComplete = transfer.head.isWholeResponse(transfer.easy, code);
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &result.status);
        curl_off_t sentBytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
        long requestBytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        // The server may have received anything that was handed to the socket, so it counts as sent.
        result.isSent = result.isComplete || requestBytes > 0 || sentBytes > 0;
        m_bufferedBytes -= transfer.body.size();
        result.body = std::move(transfer.body);
        transfer.body.clear();
        auto owner = m_transfers.extract(transfer.id);
        release(transfer);
        m_handler.onDone(transfer.context, std::move(result));
    }

    void release(Transfer& transfer)
    {
        m_bufferedBytes -= transfer.body.size();
        curl_multi_remove_handle(m_multi, transfer.easy);
        curl_easy_cleanup(transfer.easy);
        curl_slist_free_all(transfer.headers);
    }

    Handler& m_handler;
    CURLM* m_multi;
    std::atomic<bool> m_isStopping { false };
    base::Mutex m_mutex;
    std::vector<std::unique_ptr<Transfer>> m_submitted;
    std::vector<uint64_t> m_cancelled;
    std::unordered_map<uint64_t, std::unique_ptr<Transfer>> m_transfers;
    // Of the bodies of `m_transfers`.
    size_t m_bufferedBytes = 0;
    base::NamedThread m_thread;
};

} // namespace redwingseam::http
