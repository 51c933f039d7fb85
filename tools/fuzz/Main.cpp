#include "ParserKind.h"

#include "forward/EventSplitter.h"
#include "gateway/HeaderUtils.h"
#include "platform/BootSettings.h"
#include "platform/ManifestCodec.h"
#include "platform/NodeCodec.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/QuarantineCodec.h"
#include "platform/UpstreamCodec.h"
#include "replication/MessageCodec.h"
#include "report/LogEvent.h"

#include <boost/beast/http.hpp>
#include <cstdlib>

namespace {

using namespace redwingseam;
using fuzz::ParserKind;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

// A parsed message can be formatted and parsed again.
void fuzzPeerMessage(std::string_view bytes)
{
    base::Instant now(std::chrono::hours(1));
    auto message = replication::parseMessage(bytes, now);
    if (message)
        require(replication::parseMessage(replication::formatMessage(*message, now), now).has_value());
}

// The events are the same whether the stream arrives in one piece or in two.
void fuzzEventStream(std::string_view bytes)
{
    forward::EventSplitter whole;
    auto expected = whole.push(bytes);
    forward::EventSplitter halves;
    auto events = halves.push(bytes.substr(0, bytes.size() / 2));
    for (auto& event : halves.push(bytes.substr(bytes.size() / 2)))
        events.push_back(std::move(event));
    require(events.size() == expected.size() && whole.hasPartial() == halves.hasPartial());
    for (size_t i = 0; i < events.size(); ++i)
        require(events[i].bytes == expected[i].bytes && events[i].id == expected[i].id);
}

template<typename Parser>
bool parseHeader(Parser& parser, std::string_view bytes)
{
    boost::system::error_code error;
    parser.eager(true);
    parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    return !error && parser.is_header_done();
}

// Hop-by-hop headers are removed before a request is forwarded.
void fuzzRequest(std::string_view bytes)
{
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    if (!parseHeader(parser, bytes))
        return;
    (void)platform::PlatformHeaderCodec::readRequest(parser.get());
    boost::beast::http::fields headers = parser.get();
    gateway::removeHopByHopHeaders(headers);
    require(headers.count("Connection") == 0 && headers.count("Transfer-Encoding") == 0);
}

void fuzzAnswer(std::string_view bytes)
{
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    if (parseHeader(parser, bytes))
        (void)platform::PlatformHeaderCodec::readResponse(parser.get().result_int(), parser.get());
}

void fuzzParser(ParserKind kind, std::string_view bytes)
{
    switch (kind) {
    case ParserKind::PeerMessage:
        return fuzzPeerMessage(bytes);
    case ParserKind::Manifest:
        return (void)platform::parseManifest(bytes);
    case ParserKind::ManifestFile:
        return (void)platform::parseManifestFile(bytes);
    case ParserKind::QuarantinePage:
        return (void)platform::parseQuarantinePage(bytes, { base::Instant(std::chrono::hours(1)), 1'000'000'000 });
    case ParserKind::UpstreamPage:
        return (void)platform::parseUpstreamPage(bytes);
    case ParserKind::UpstreamChanges:
        return (void)platform::parseUpstreamChanges(bytes);
    case ParserKind::NodePage:
        return (void)platform::parseNodePage(bytes);
    case ParserKind::Settings:
        return (void)platform::parseBootSettings(bytes);
    case ParserKind::EventStream:
        return fuzzEventStream(bytes);
    case ParserKind::LogLine:
        return (void)report::parseLogEvent(bytes, "node");
    case ParserKind::Request:
        return fuzzRequest(bytes);
    case ParserKind::Answer:
        return fuzzAnswer(bytes);
    }
}

} // namespace

// libFuzzer defines this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (!size)
        return 0;
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    fuzzParser(static_cast<ParserKind>(data[0] % fuzz::parserKindCount), bytes.substr(1));
    return 0;
}
