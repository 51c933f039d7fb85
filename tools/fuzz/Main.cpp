#include "ReaderKind.h"

#include "forward/EventSplitter.h"
#include "gateway/HeaderUtils.h"
#include "platform/BootSettings.h"
#include "platform/HttpDialect.h"
#include "platform/ManifestCodec.h"
#include "platform/NodeCodec.h"
#include "platform/UpstreamCodec.h"
#include "replication/MessageCodec.h"
#include "report/LogEvent.h"

#include <boost/beast/http.hpp>
#include <cstdlib>

namespace {

using namespace redwingseam;
using fuzz::ReaderKind;

void require(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

// What was read can be written and read again.
void readPeerMessage(std::string_view bytes)
{
    base::Instant now(std::chrono::hours(1));
    auto message = replication::parseMessage(bytes, now);
    if (message)
        require(replication::parseMessage(replication::formatMessage(*message, now), now).has_value());
}

// Events are the same wherever the stream is cut in two.
void readEvents(std::string_view bytes)
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
bool parse(Parser& parser, std::string_view bytes)
{
    boost::system::error_code error;
    parser.eager(true);
    parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    return !error && parser.is_header_done();
}

// No header that concerns one connection only is passed on.
void readRequest(std::string_view bytes)
{
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    if (!parse(parser, bytes))
        return;
    (void)platform::HttpDialect::readRequest(parser.get());
    boost::beast::http::fields headers = parser.get();
    gateway::removeHopByHopHeaders(headers);
    require(headers.count("Connection") == 0 && headers.count("Transfer-Encoding") == 0);
}

void readResponse(std::string_view bytes)
{
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    if (parse(parser, bytes))
        (void)platform::HttpDialect::readResponse(parser.get().result_int(), parser.get());
}

void read(ReaderKind kind, std::string_view bytes)
{
    switch (kind) {
    case ReaderKind::PeerMessage:
        return readPeerMessage(bytes);
    case ReaderKind::Manifest:
        return (void)platform::parseManifest(bytes);
    case ReaderKind::UpstreamPage:
        return (void)platform::parseUpstreamPage(bytes);
    case ReaderKind::UpstreamChanges:
        return (void)platform::parseUpstreamChanges(bytes);
    case ReaderKind::NodePage:
        return (void)platform::parseNodePage(bytes);
    case ReaderKind::Settings:
        return (void)platform::parseBootSettings(bytes);
    case ReaderKind::EventStream:
        return readEvents(bytes);
    case ReaderKind::LogLine:
        return (void)report::parseLogEvent(bytes, "node");
    case ReaderKind::Request:
        return readRequest(bytes);
    case ReaderKind::Answer:
        return readResponse(bytes);
    }
}

} // namespace

// The name is the fuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (!size)
        return 0;
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    read(static_cast<ReaderKind>(data[0] % fuzz::readerKindCount), bytes.substr(1));
    return 0;
}
