#include "base/FileDescriptor.h"
#include "fakes/SilentCallerHandler.h"
#include "http/CallerServer.h"

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>

using namespace redwingseam;

namespace {

base::FileDescriptor connectTo(uint16_t port)
{
    base::FileDescriptor result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto address = http::SocketAddress { "127.0.0.1", port }.native();
    connect(result.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    return result;
}

std::string readAll(const base::FileDescriptor& socket, const std::string& until = "<never>")
{
    std::string text;
    char buffer[4096];
    pollfd entry { socket.descriptor(), POLLIN, 0 };
    while (text.find(until) == std::string::npos && poll(&entry, 1, 1000) > 0) {
        auto count = recv(socket.descriptor(), buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        text.append(buffer, static_cast<size_t>(count));
    }
    return text;
}

} // namespace

TEST_GROUP(CallerServerStop)
{
    static constexpr unsigned callerCount = 50;
    static constexpr uint64_t firstRequestId = 1;
    fakes::SilentCallerHandler handler;
    http::CallerServer<fakes::SilentCallerHandler> server { "secret", firstRequestId, handler };
    std::vector<base::FileDescriptor> callers;

    void setup() override
    {
        CHECK_TRUE(server.start({ "127.0.0.1", 0 }));
    }

    void sendRequests(const std::string& body)
    {
        auto key = http::ClientKeyCodec("secret").mint({ "client" });
        for (unsigned i = 0; i < callerCount; ++i) {
            callers.push_back(connectTo(server.port()));
            auto request = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            send(callers.back().descriptor(), request.data(), request.size(), MSG_NOSIGNAL);
        }
        for (int i = 0; i < 100 && handler.requests < callerCount; ++i)
            poll(nullptr, 0, 20);
        LONGS_EQUAL(callerCount, handler.requests);
    }
};

TEST(CallerServerStop, UnansweredRequestsDoNotGetAnEmptySuccess)
{
    sendRequests(R"({"model":"m","prompt":"p","max_tokens":5})");
    server.stop();
    unsigned successes = 0;
    unsigned complete = 0;
    unsigned truthful = 0;
    for (const auto& caller : callers) {
        auto response = readAll(caller);
        successes += response.starts_with("HTTP/1.1 200 ");
        complete += response.starts_with("HTTP/1.1 200 ") && response.ends_with("0\r\n\r\n");
        truthful += response.starts_with("HTTP/1.1 409 ") && response.find(R"("run":"unknown")") != std::string::npos && response.ends_with("0\r\n\r\n");
    }
    auto text = std::to_string(successes) + " successes, " + std::to_string(complete) + " look complete, " + std::to_string(truthful) + " truthful";
    CHECK_TRUE_TEXT(!successes && !complete, text.c_str());
    CHECK_TRUE_TEXT(truthful == callerCount, text.c_str());
}

TEST(CallerServerStop, StreamsThatHaveBegunDoNotEndProperly)
{
    sendRequests(R"({"model":"m","prompt":"p","max_tokens":5,"stream":true})");
    for (uint64_t i = 0; i < callerCount; ++i)
        server.send({ { firstRequestId + i }, 0, { { 7, "seven" } }, {} });
    unsigned begun = 0;
    for (const auto& caller : callers)
        begun += readAll(caller, "seven").starts_with("HTTP/1.1 200 ");
    LONGS_EQUAL(callerCount, begun);
    server.stop();
    for (const auto& caller : callers) {
        auto rest = readAll(caller);
        CHECK_TRUE_TEXT(rest.find("0\r\n\r\n") == std::string::npos && rest.find("done") == std::string::npos, rest.c_str());
    }
}
