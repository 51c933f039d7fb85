#include "codec/GossipEntryCodec.h"

#include "codec/JsonReader.h"
#include "redwingseam/settings/BranchCodec.h"

namespace redwingseam::codec {

using membership::GossipKind;
using nlohmann::json;

json format(const membership::VmRecord& vm)
{
    return { { "name", vm.name.text }, { "data_centre", vm.dataCentre.text }, { "peer_address", vm.peerAddress }, { "state", base::nameOf(vm.state) } };
}

json format(const route::UpstreamRecord& upstream)
{
    return {
        { "name", upstream.name.text },
        { "kind", base::nameOf(upstream.kind) },
        { "pool", upstream.pool.text },
        { "data_centre", upstream.dataCentre.text },
        { "url", upstream.url },
        { "slots", upstream.slots },
        { "incarnation", upstream.incarnation },
        { "state", base::nameOf(upstream.state) },
    };
}

json format(const settings::Branch& branch)
{
    return { { "path", branch.path }, { "version", branch.version.value }, { "deleted", branch.isDeleted }, { "values", settings::formatBranch(branch) } };
}

static json format(const membership::CrashReport& report)
{
    auto crashes = json::array();
    for (const auto& crash : report.crashes)
        crashes.push_back({ { "upstream", crash.upstream.text }, { "incarnation", crash.incarnation } });
    return { { "fingerprint", report.fingerprint.value }, { "convicted", report.isQuarantined }, { "was_suspect", report.wasSuspect }, { "has_tokens", report.hasTokens }, { "deaths", std::move(crashes) } };
}

static json format(const membership::HeavyClients& heavy)
{
    auto clients = json::array();
    for (const auto& use : heavy.clients)
        clients.push_back({ { "client", use.client.text }, { "rank", base::nameOf(use.rank) }, { "cost", use.cost }, { "weight", static_cast<uint64_t>(use.weight) } });
    return { { "vm", heavy.vm.text }, { "clients", std::move(clients) } };
}

json format(const membership::GossipEntry& entry)
{
    auto body = std::visit([](const auto& alternative) { return format(alternative); }, entry.body);
    return {
        { "kind", base::nameOf(entry.key.kind) },
        { "subject", entry.key.subject },
        { "incarnation", entry.incarnation },
        { "sequence", entry.sequence },
        { "body", std::move(body) },
    };
}

std::optional<membership::VmRecord> parseVmRecord(const json& value)
{
    JsonReader reader(value);
    membership::VmRecord vm { { reader.text("name") }, { reader.text("data_centre") }, reader.text("peer_address"), reader.enumValue<membership::VmState>("state") };
    if (!reader.isGood())
        return std::nullopt;
    return vm;
}

std::optional<route::UpstreamRecord> parseUpstreamRecord(const json& value)
{
    static constexpr uint64_t maxSlots = 100'000;
    JsonReader reader(value);
    route::UpstreamRecord upstream;
    upstream.name.text = reader.text("name");
    upstream.kind = reader.enumValue<route::UpstreamKind>("kind");
    upstream.pool.text = reader.text("pool");
    upstream.dataCentre.text = reader.text("data_centre");
    upstream.url = reader.text("url");
    auto slots = reader.number("slots");
    if (!slots || slots > maxSlots)
        reader.fail("slots", "a number from 1 to 100000");
    upstream.slots = static_cast<uint32_t>(slots);
    upstream.incarnation = reader.number("incarnation");
    upstream.state = reader.enumValue<route::UpstreamState>("state");
    if (!reader.isGood())
        return std::nullopt;
    return upstream;
}

std::optional<settings::Branch> parseBranchObject(const json& value)
{
    JsonReader reader(value);
    auto path = reader.text("path");
    base::ObjectVersion version { reader.number("version") };
    bool isDeleted = reader.flag("deleted");
    auto values = reader.text("values");
    if (!reader.isGood())
        return std::nullopt;
    auto branch = settings::parseBranch(std::move(path), version, values);
    if (!branch)
        return std::nullopt;
    branch.value().isDeleted = isDeleted;
    return std::move(branch.value());
}

static std::optional<membership::CrashReport> parseCrashReport(const json& value)
{
    JsonReader reader(value);
    membership::CrashReport report { { reader.number("fingerprint") }, reader.flag("convicted"), reader.flag("was_suspect"), reader.flag("has_tokens"), {} };
    for (const auto& item : reader.array("deaths")) {
        JsonReader crash(item);
        report.crashes.push_back({ { crash.text("upstream") }, crash.number("incarnation") });
        if (!crash.isGood())
            return std::nullopt;
    }
    if (!reader.isGood())
        return std::nullopt;
    return report;
}

static std::optional<membership::HeavyClients> parseHeavyClients(const json& value)
{
    JsonReader reader(value);
    membership::HeavyClients heavy { { reader.text("vm") }, {} };
    for (const auto& item : reader.array("clients")) {
        JsonReader use(item);
        heavy.clients.push_back({ { use.text("client") }, use.enumValue<base::Rank>("rank"), use.number("cost"), static_cast<int64_t>(use.number("weight")) });
        if (!use.isGood())
            return std::nullopt;
    }
    if (!reader.isGood())
        return std::nullopt;
    return heavy;
}

template<typename Body>
static std::optional<membership::GossipBody> toVariant(std::optional<Body> body)
{
    if (!body)
        return std::nullopt;
    return membership::GossipBody(std::move(*body));
}

static std::optional<membership::GossipBody> parseBody(GossipKind kind, const json& value)
{
    switch (kind) {
    case GossipKind::Vm:
        return toVariant(parseVmRecord(value));
    case GossipKind::Upstream:
        return toVariant(parseUpstreamRecord(value));
    case GossipKind::CrashReport:
        return toVariant(parseCrashReport(value));
    case GossipKind::HeavyClients:
        return toVariant(parseHeavyClients(value));
    case GossipKind::Branch:
        return toVariant(parseBranchObject(value));
    }
    return std::nullopt;
}

std::optional<membership::GossipEntry> parseGossipEntry(const json& value)
{
    JsonReader reader(value);
    membership::GossipKey key { reader.enumValue<GossipKind>("kind"), reader.text("subject") };
    auto incarnation = reader.number("incarnation");
    auto sequence = reader.number("sequence");
    auto body = parseBody(key.kind, reader.object("body"));
    if (!reader.isGood() || !body)
        return std::nullopt;
    return membership::GossipEntry { std::move(key), incarnation, sequence, std::move(*body) };
}

} // namespace redwingseam::codec
