// Callers whose bodies together are larger than the memory for them.

#include "base/FileDescriptor.h"
#include "fakes/SilentCallerHandler.h"
#include "http/CallerServer.h"

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>

using namespace redwingseam;

TEST_GROUP(CallerBodies)
{
    fakes::SilentCallerHandler handler;
    http::CallerServer<fakes::SilentCallerHandler> server { "secret", 1, handler };
    std::vector<base::FileDescriptor> callers;

    void setup() override { CHECK_TRUE(server.start({ "127.0.0.1", 0 })); }

    static std::string head(size_t bodyBytes)
    {
        auto key = http::ClientKeyCodec("secret").mint({ "client" });
        return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    const base::FileDescriptor& sendAll(const std::string& bytes)
    {
        auto& caller = callers.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = http::SocketAddress { "127.0.0.1", server.port() }.native();
        connect(caller.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        for (size_t sent = 0; sent < bytes.size();) {
            auto count = send(caller.descriptor(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<size_t>(count);
        }
        return caller;
    }

    static std::string read(const base::FileDescriptor& caller)
    {
        std::string text;
        char buffer[4096];
        pollfd entry { caller.descriptor(), POLLIN, 0 };
        while (text.find("}}") == std::string::npos && poll(&entry, 1, 3000) > 0) {
            auto count = recv(caller.descriptor(), buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            text.append(buffer, static_cast<size_t>(count));
        }
        return text;
    }
};

TEST(CallerBodies, BodyBeyondTheMemoryForAllIsRefusedAsNotRunAndOthersAreServed)
{
    static constexpr size_t bodyBytes = 1000 * 1000;
    // All but the last byte, so that none of these requests begins.
    for (size_t i = 0; i * bodyBytes <= http::CallerServer<fakes::SilentCallerHandler>::defaultBodyBytes; ++i)
        sendAll(head(bodyBytes) + std::string(bodyBytes - 1, 'x'));
    poll(nullptr, 0, 300);
    auto refused = read(sendAll(head(bodyBytes) + std::string(bodyBytes, 'x')));
    CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 503 "), refused.c_str());
    CHECK_TRUE_TEXT(refused.find("BuffersExhausted") != std::string::npos && refused.find("not-run") != std::string::npos, refused.c_str());
    // Memory of callers that have left is given back.
    callers.clear();
    poll(nullptr, 0, 300);
    std::string body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":10}";
    sendAll(head(body.size()) + body);
    for (int i = 0; i < 100 && !handler.requests; ++i)
        poll(nullptr, 0, 20);
    LONGS_EQUAL(1, handler.requests);
}
