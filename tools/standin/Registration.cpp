#include "standin/Registration.h"

#include "codec/ObjectCodec.h"
#include "http/BlockingClient.h"
#include "store/ObjectKeys.h"

namespace redwingseam::standin {

void addRegistrationOptions(cxxopts::Options& options)
{
    auto text = [](const char* fallback) { return cxxopts::value<std::string>()->default_value(fallback); };
    options.add_options()("platform", "Base URL of the platform's store to register with; empty for no registration", text(""))("name", "Name of this upstream", text(""))("pool", "Pool: the model with its version, or the name of the service", text("draft@1"))("data-centre", "Data centre of this upstream", text(""))("incarnation", "Incarnation; must increase with each start", cxxopts::value<uint64_t>()->default_value("1"));
}

bool registerUpstream(const cxxopts::ParseResult& parsed, route::UpstreamKind kind, uint32_t slots)
{
    auto platformUrl = parsed["platform"].as<std::string>();
    if (platformUrl.empty())
        return true;
    route::UpstreamRecord record;
    record.name.text = parsed["name"].as<std::string>();
    record.kind = kind;
    record.pool.text = parsed["pool"].as<std::string>();
    record.dataCentre.text = parsed["data-centre"].as<std::string>();
    record.url = "http://" + parsed["listen"].as<std::string>();
    record.slots = slots;
    record.incarnation = parsed["incarnation"].as<uint64_t>();
    http::HttpRequest request { "PUT", platformUrl + "/objects/" + store::upstreamKey(record.name).text, codec::formatObject(record) };
    request.timeout = std::chrono::seconds(5);
    auto result = http::exchange(request);
    return result.isComplete && result.status == 200;
}

} // namespace redwingseam::standin
