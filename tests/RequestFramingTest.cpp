#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Requests whose framing two HTTP parsers may read differently.
TEST_GROUP(RequestFraming)
{
    GatewayFixture gateway;

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    static std::string head(const std::string& framing, const std::string& version = "1.1")
    {
        return "POST /book/x HTTP/" + version + "\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\n" + framing + "\r\n";
    }

    static std::string join(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (auto part : parts)
            text.append(part);
        return text;
    }

    // A body that reads like a request.
    static std::string innerRequest() { return "POST /book/inner HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a2\r\nRedwingseam-Key: key\r\nContent-Length: 0\r\n\r\n"; }

    // Checks that the request gets one response, with status 400, that the connection closes and that no upstream runs
    // anything.
    void checkRejected(const std::string& request)
    {
        ScriptedUpstream upstream({ { GatewayFixture::ok("outer") }, { GatewayFixture::ok("inner") } });
        gateway.addUpstream("d1", "desk", upstream);
        auto response = gateway.exchange(request);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 400 "), (request + response).c_str());
        CHECK_TRUE_TEXT(response.ends_with("<closed>"), request.c_str());
        CHECK_FALSE_TEXT(contains(response.substr(1), "HTTP/1.1 "), request.c_str());
        LONGS_EQUAL_TEXT(0, upstream.requests().size(), request.c_str());
    }
};

// The body of such a request used to be run as the next request.
TEST(RequestFraming, TransferCodingOtherThanChunkedIsRejected)
{
    for (const char* coding : { "gzip", "identity", "deflate", "", "xchunked", "chunked, gzip", "chunked;q=1", "\"chunked\"", "chunked x", "gzip, chunked", "chunked, chunked", ",chunked", "chunked,", "gzip;a=\",chunked" })
        checkRejected(head(std::string("Transfer-Encoding: ") + coding + "\r\n") + innerRequest());
}

TEST(RequestFraming, SeveralTransferCodingsAreRejected)
{
    const std::string coding = "Transfer-Encoding: ";
    for (const char* second : { "chunked", "gzip", "identity", "" }) {
        checkRejected(head(join({ coding, "chunked\r\n", coding, second, "\r\n" })) + "0\r\n\r\n" + innerRequest());
        checkRejected(head(join({ coding, second, "\r\n", coding, "chunked\r\n" })) + "0\r\n\r\n" + innerRequest());
        checkRejected(head(join({ coding, second, "\r\nX-Between: 1\r\n", coding, "gzip\r\n" })) + innerRequest());
    }
}

TEST(RequestFraming, TransferCodingBesideALengthIsRejected)
{
    auto body = innerRequest();
    auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    for (const char* coding : { "chunked", "gzip", "identity", "gzip, chunked", "" }) {
        auto field = std::string("Transfer-Encoding: ") + coding + "\r\n";
        checkRejected(head(join({ length, field })) + body);
        checkRejected(head(join({ field, length })) + body);
    }
}

TEST(RequestFraming, TransferCodingInHttp10IsRejected)
{
    checkRejected(head("Transfer-Encoding: chunked\r\n", "1.0") + "0\r\n\r\n" + innerRequest());
    checkRejected(head("Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n", "1.0") + "0\r\n\r\n" + innerRequest());
}

TEST(RequestFraming, LengthThatIsNotOneNumberIsRejected)
{
    for (const char* length : { "3, 3", "3,", ",3", "3,5", "+3", "-3", "0x3", "3 3", "3.0", "3;", "", " ", "18446744073709551616", "99999999999999999999999", "\"3\"" })
        checkRejected(head(std::string("Content-Length: ") + length + "\r\n") + "abc" + innerRequest());
    checkRejected(head("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc" + innerRequest());
    checkRejected(head("Content-Length: 3\r\nX-Between: 1\r\ncontent-length: 5\r\n") + "abc" + innerRequest());
}

TEST(RequestFraming, OddFieldLinesAreRejected)
{
    const std::string nul(1, '\0');
    for (const auto& fields : std::vector<std::string> { "Content-Length : 3\r\n", "Content-Length\t: 3\r\n", "Transfer-Encoding : chunked\r\n", "X: a\nContent-Length: 3\r\n", "X: a\rContent-Length: 3\r\n", "X: a" + nul + "b\r\n", "X" + nul + ": b\r\n", ": b\r\n", "no colon\r\n", "X: a\r\r\n", "X\r\nContent-Length: 3\r\n", "X: \x7f\r\n" })
        checkRejected(head(fields) + "abc" + innerRequest());
}

TEST(RequestFraming, OddChunksAreRejected)
{
    for (const char* chunks : { "3\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "10000000000000003\r\nabc\r\n0\r\n\r\n", "3;\nx\r\nabc\r\n0\r\n\r\n", "3;\r\nabc\r\n0\r\n\r\n", "\r\n0\r\n\r\n", "3 x\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n", "3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\nX : 3\r\n\r\n", "3\r\nabc\r\n0\nX: 3\r\n\r\n" })
        checkRejected(head("Transfer-Encoding: chunked\r\n") + chunks + innerRequest());
}

// A success of CONNECT turns the connection into a tunnel.
TEST(RequestFraming, OddRequestLinesAreRejected)
{
    const std::string rest = "Host: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nContent-Length: 0\r\n\r\n";
    for (const char* line : { "CONNECT /book/x HTTP/1.1", "CONNECT h:80 HTTP/1.1", "POST  /book/x HTTP/1.1", "POST /book/x  HTTP/1.1", "POST /book/x HTTP/1.1 ", "POST /book/x y HTTP/1.1", "POST /book/x HTTP/1.2", "POST /book/x HTTP/2.0", "POST /book/x HTTP/0.9", "POST /book/x http/1.1", "POST /book/x", "POST\t/book/x HTTP/1.1", " POST /book/x HTTP/1.1", "PO(ST /book/x HTTP/1.1", "POST /book/\x01 HTTP/1.1" })
        checkRejected(std::string(line) + "\r\n" + rest + innerRequest());
}

TEST(RequestFraming, PlainFramingIsPassedOn)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("1") }, { GatewayFixture::ok("2") }, { GatewayFixture::ok("3") }, { GatewayFixture::ok("4") } });
    gateway.addUpstream("d1", "desk", upstream);
    const std::string close = "Connection: close\r\n";
    for (const auto& request : { head(close + "Transfer-Encoding: Chunked\r\n") + "3;x=\"a\"\r\nabc\r\n00\r\n\r\n", head(close + "transfer-encoding:\tchunked \r\n") + "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", head(close + "Content-Length: 003\r\n") + "abc", head(close + "Content-Length: 3\r\n", "1.0") + "abc" }) {
        auto response = gateway.exchange(request);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200 "), (request + response).c_str());
    }
    LONGS_EQUAL(4, upstream.requests().size());
    for (const auto& request : upstream.requests()) {
        CHECK_TRUE_TEXT(contains(request, "Content-Length: 3\r\n\r\nabc"), request.c_str());
        CHECK_FALSE_TEXT(contains(request, "ncoding"), request.c_str());
    }
}
