#include "replication/MessageCodec.h"

#include "base/Cbor.h"
#include "replication/FieldReader.h"
#include "replication/MessageKind.h"

#include <algorithm>

namespace redwingseam::replication {

using Json = nlohmann::json;

// Messages are arrays of fields in a fixed order, which saves traffic between data centres. New fields are appended at
// the end, and the parser accepts messages without them, because nodes of two releases communicate during a rollout.

// Clamps to zero, since `now` may have been read before the event that the message reports.
static int64_t ageOf(base::Instant at, base::Instant now)
{
    return std::max(base::Duration {}, now - at).count();
}

static Json format(const sync::NodeRecord& node)
{
    return Json::array({ node.name.text, node.dataCentre.text, node.peerAddress });
}

static Json format(const fleet::LoadMap& loads)
{
    auto list = Json::array();
    for (const auto& [upstream, load] : loads)
        list.push_back(Json::array({ upstream.text, load.requests, load.pendingPrefillTokens.value(), load.kvTokens.value() }));
    return list;
}

static Json format(const fleet::UpstreamInstance& upstream)
{
    return Json::array({ upstream.id.text, upstream.service.text, upstream.address, upstream.dataCentre.text, upstream.incarnation, upstream.slots, upstream.isDraining, upstream.version.text });
}

static Json format(const fleet::LeavingReport& report)
{
    return Json::array({ report.upstream.text, report.service.text, report.incarnation });
}

template<typename List>
static Json formatList(const List& items)
{
    auto list = Json::array();
    for (const auto& item : items)
        list.push_back(format(item));
    return list;
}

static Json format(const StateQuery& query, base::Instant)
{
    auto fields = Json::array({ static_cast<int>(MessageKind::Query), query.sequence, format(query.from), query.manifestVersion, query.listVersion.revision, format(query.loads), query.wantsState, query.nodeCount, std::max(base::Duration {}, query.manifestAge).count(), std::max(base::Duration {}, query.listAge).count(), query.quarantineHash, query.wantsFullState, query.acceptsCompression, query.listVersion.era });
    if (query.wantsProbe)
        fields.push_back(true);
    return fields;
}

static Json format(const std::vector<forward::QuarantinedRequest>& requests, base::Instant now)
{
    auto list = Json::array();
    for (const auto& request : requests)
        list.push_back(Json::array({ request.fingerprint.value, ageOf(request.lastCrashAt, now), request.trials, ageOf(request.lastTrialAt.value_or(request.lastCrashAt), now) }));
    return list;
}

static Json format(const std::vector<forward::RequestClearance>& clearances, base::Instant now)
{
    auto list = Json::array();
    for (const auto& clearance : clearances)
        list.push_back(Json::array({ clearance.fingerprint.value, ageOf(clearance.progressAt, now) }));
    return list;
}

static Json format(const std::vector<forward::RequestTrial>& trials, base::Instant now)
{
    auto list = Json::array();
    for (const auto& trial : trials)
        list.push_back(Json::array({ trial.fingerprint.value, ageOf(trial.startedAt, now) }));
    return list;
}

static Json format(const std::vector<forward::CrashReport>& crashes, base::Instant now)
{
    auto list = Json::array();
    for (const auto& crash : crashes)
        list.push_back(Json::array({ crash.fingerprint.value, ageOf(crash.sentAt, now), ageOf(crash.lostAt, now) }));
    return list;
}

static Json format(const forward::PartCrash& crash, base::Instant now)
{
    auto parts = Json::array();
    for (auto part : crash.parts)
        parts.push_back(Json::array({ part.value }));
    return Json::array({ crash.id, crash.fingerprint.value, crash.upstream.text, std::move(parts), ageOf(crash.sentAt, now), ageOf(crash.lostAt, now), crash.account.value });
}

static Json format(const forward::PartReports& reports, base::Instant now)
{
    auto crashes = Json::array();
    for (const auto& crash : reports.crashes)
        crashes.push_back(format(crash, now));
    auto clearances = Json::array();
    for (const auto& clearance : reports.clearances)
        clearances.push_back(Json::array({ clearance.part.value, ageOf(clearance.progressAt, now) }));
    auto trials = Json::array();
    for (const auto& trial : reports.trials)
        trials.push_back(Json::array({ trial.part.value, ageOf(trial.startedAt, now) }));
    return Json::array({ std::move(crashes), std::move(clearances), std::move(trials) });
}

static Json format(const sync::UpstreamDelta& delta)
{
    auto removed = Json::array();
    for (const auto& upstream : delta.removed)
        removed.push_back(Json::array({ upstream.text }));
    return Json::array({ delta.from.revision, formatList(delta.changed), std::move(removed), delta.from.era });
}

static Json formatBytes(const std::string& bytes)
{
    return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

static Json format(const StateReply& reply, base::Instant now)
{
    auto list = reply.list ? formatList(reply.list->upstreams) : Json();
    auto fields = Json::array({ static_cast<int>(MessageKind::Reply), reply.sequence, format(reply.from), reply.manifestVersion, std::max(base::Duration {}, reply.manifestAge).count(),
        reply.manifestText, reply.listVersion.revision, std::max(base::Duration {}, reply.listAge).count(), reply.missingEntryGrace.count(), std::move(list), format(reply.loads), formatList(reply.nodes), format(reply.quarantined, now), reply.delta ? format(*reply.delta) : Json(), reply.isDeputy, format(reply.parts, now), reply.compressedManifest ? formatBytes(*reply.compressedManifest) : Json(), reply.listVersion.era, format(reply.clearances, now), reply.hasLostStore });
    if (reply.probe)
        fields.push_back(Json::array({ reply.probe->stateSequence, reply.probe->stateBytes, formatBytes(reply.probe->padding) }));
    return fields;
}

static Json format(const FailureNotice& notice, base::Instant now)
{
    auto list = Json::array();
    for (const auto& suspicion : notice.suspicions)
        list.push_back(Json::array({ suspicion.upstream.text, suspicion.service.text, static_cast<int>(suspicion.cause), ageOf(suspicion.detectedAt, now), suspicion.incarnation }));
    return Json::array({ static_cast<int>(MessageKind::FailureNotice), format(notice.from), std::move(list), format(notice.crashes, now), format(notice.parts, now), format(notice.clearances, now), format(notice.trials, now), formatList(notice.leaving) });
}

static Json formatAttempts(const std::vector<base::ClientAttemptId>& attempts)
{
    auto list = Json::array();
    for (const auto& attempt : attempts)
        list.push_back(Json::array({ attempt.text }));
    return list;
}

static Json format(const OriginQuery& query, base::Instant)
{
    return Json::array({ static_cast<int>(MessageKind::OriginQuery), format(query.from), formatAttempts(query.attempts), query.listCheck });
}

static Json format(const OriginReply& reply, base::Instant)
{
    auto streams = Json::array();
    for (const auto& record : reply.streams)
        streams.push_back(Json::array({ record.attempt.text, record.origin.service.text, record.origin.version.text }));
    return Json::array({ static_cast<int>(MessageKind::OriginReply), format(reply.from), std::move(streams), reply.listCheck, reply.listVersion.era, reply.listVersion.revision, reply.isReader, formatAttempts(reply.unknown), reply.keptSince.era, reply.keptSince.revision });
}

std::string formatMessage(const Message& message, base::Instant now)
{
    auto body = std::visit([&](const auto& alternative) { return format(alternative, now); }, message);
    std::string bytes;
    Json::to_cbor(body, bytes);
    return bytes;
}

static void parse(FieldReader& reader, sync::NodeRecord& node)
{
    node.name.text = reader.text();
    node.dataCentre.text = reader.text();
    node.peerAddress = reader.text();
}

static fleet::LoadMap parseLoads(FieldReader& reader)
{
    fleet::LoadMap loads;
    reader.forEach([&](FieldReader& item) {
        base::UpstreamName upstream { item.text() };
        auto& load = loads[upstream];
        load.requests = static_cast<uint32_t>(item.number());
        load.pendingPrefillTokens = item.number();
        load.kvTokens = item.number();
    });
    return loads;
}

static fleet::UpstreamInstance parseUpstream(FieldReader& item)
{
    fleet::UpstreamInstance upstream;
    upstream.id.text = item.text();
    upstream.service.text = item.text();
    upstream.address = item.text();
    upstream.dataCentre.text = item.text();
    upstream.incarnation = item.number();
    upstream.slots = static_cast<uint32_t>(item.number());
    upstream.isDraining = item.flag();
    if (item.hasMore())
        upstream.version.text = item.text();
    return upstream;
}

static base::Duration parseAge(FieldReader& reader)
{
    return base::Duration(static_cast<int64_t>(reader.number()));
}

static forward::PartCrash parsePartCrash(FieldReader& item, base::Instant now)
{
    forward::PartCrash crash;
    crash.id = item.number(UINT64_MAX);
    crash.fingerprint.value = item.number(UINT64_MAX);
    crash.upstream.text = item.text();
    item.forEach([&](FieldReader& part) { crash.parts.push_back({ part.number(UINT64_MAX) }); });
    crash.sentAt = now - parseAge(item);
    crash.lostAt = now - parseAge(item);
    if (item.hasMore())
        crash.account.value = item.number(UINT64_MAX);
    return crash;
}

static forward::PartReports parsePartReports(FieldReader& reader, base::Instant now)
{
    forward::PartReports reports;
    if (!reader.hasMore())
        return reports;
    reader.nested([&](FieldReader& lists) {
        lists.forEach([&](FieldReader& item) { reports.crashes.push_back(parsePartCrash(item, now)); });
        lists.forEach([&](FieldReader& item) {
            auto& clearance = reports.clearances.emplace_back();
            clearance.part.value = item.number(UINT64_MAX);
            clearance.progressAt = now - parseAge(item);
        });
        lists.forEach([&](FieldReader& item) {
            auto& trial = reports.trials.emplace_back();
            trial.part.value = item.number(UINT64_MAX);
            trial.startedAt = now - parseAge(item);
        });
    });
    return reports;
}

static std::vector<forward::RequestClearance> parseClearances(FieldReader& reader, base::Instant now)
{
    std::vector<forward::RequestClearance> clearances;
    if (!reader.hasMore())
        return clearances;
    reader.forEach([&](FieldReader& item) {
        auto& clearance = clearances.emplace_back();
        clearance.fingerprint.value = item.number(UINT64_MAX);
        clearance.progressAt = now - parseAge(item);
    });
    return clearances;
}

static std::vector<forward::RequestTrial> parseTrials(FieldReader& reader, base::Instant now)
{
    std::vector<forward::RequestTrial> trials;
    if (!reader.hasMore())
        return trials;
    reader.forEach([&](FieldReader& item) {
        auto& trial = trials.emplace_back();
        trial.fingerprint.value = item.number(UINT64_MAX);
        trial.startedAt = now - parseAge(item);
    });
    return trials;
}

static StateQuery parseQuery(FieldReader& reader)
{
    StateQuery query;
    query.sequence = reader.number();
    reader.nested([&](FieldReader& item) { parse(item, query.from); });
    query.manifestVersion = reader.number();
    query.listVersion.revision = reader.number();
    query.loads = parseLoads(reader);
    if (reader.hasMore())
        query.wantsState = reader.flag();
    if (reader.hasMore())
        query.nodeCount = reader.number();
    // A sender that does not state the ages has nothing newer to offer.
    query.manifestAge = reader.hasMore() ? parseAge(reader) : base::Duration::max();
    query.listAge = reader.hasMore() ? parseAge(reader) : base::Duration::max();
    if (reader.hasMore())
        query.quarantineHash = reader.number(UINT64_MAX);
    // An older sender expects the full state whenever it wants state.
    query.wantsFullState = reader.hasMore() ? reader.flag() : query.wantsState;
    if (reader.hasMore())
        query.acceptsCompression = reader.flag();
    query.hasEra = reader.hasMore();
    if (query.hasEra)
        query.listVersion.era = reader.number();
    if (reader.hasMore())
        query.wantsProbe = reader.flag();
    return query;
}

static sync::UpstreamDelta parseDelta(FieldReader& reader)
{
    sync::UpstreamDelta delta;
    delta.from.revision = reader.number();
    reader.forEach([&](FieldReader& item) { delta.changed.push_back(parseUpstream(item)); });
    reader.forEach([&](FieldReader& item) { delta.removed.push_back({ item.text() }); });
    if (reader.hasMore())
        delta.from.era = reader.number();
    return delta;
}

static StateReply parseReply(FieldReader& reader, base::Instant now)
{
    StateReply reply;
    std::optional<sync::UpstreamDelta> delta;
    reply.sequence = reader.number();
    reader.nested([&](FieldReader& item) { parse(item, reply.from); });
    reply.manifestVersion = reader.number();
    reply.manifestAge = parseAge(reader);
    reply.manifestText = reader.text();
    reply.listVersion.revision = reader.number();
    reply.listAge = parseAge(reader);
    reply.missingEntryGrace = parseAge(reader);
    if (reader.isNull()) {
        reader.skip();
    } else {
        reply.list.emplace();
        reader.forEach([&](FieldReader& item) { reply.list->upstreams.push_back(parseUpstream(item)); });
    }
    reply.loads = parseLoads(reader);
    reader.forEach([&](FieldReader& item) { parse(item, reply.nodes.emplace_back()); });
    if (reader.hasMore()) {
        reader.forEach([&](FieldReader& item) {
            auto& request = reply.quarantined.emplace_back();
            request.fingerprint.value = item.number(UINT64_MAX);
            request.lastCrashAt = now - parseAge(item);
            if (!item.hasMore())
                return;
            request.trials = static_cast<unsigned>(item.number(UINT32_MAX));
            auto lastTrialAt = now - parseAge(item);
            if (request.trials)
                request.lastTrialAt = lastTrialAt;
        });
    }
    if (reader.isNull()) {
        reader.skip();
    } else if (reader.hasMore()) {
        reader.nested([&](FieldReader& item) {
            delta = parseDelta(item);
        });
    }
    if (reader.hasMore())
        reply.isDeputy = reader.flag();
    reply.parts = parsePartReports(reader, now);
    if (reader.isNull())
        reader.skip();
    else if (reader.hasMore())
        reply.compressedManifest = std::make_shared<const std::string>(reader.bytes());
    reply.hasEra = reader.hasMore();
    if (reply.hasEra)
        reply.listVersion.era = reader.number();
    if (reply.list)
        reply.list->version = reply.listVersion;
    if (delta) {
        delta->to = reply.listVersion;
        reply.delta = std::make_shared<const sync::UpstreamDelta>(std::move(*delta));
    }
    reply.clearances = parseClearances(reader, now);
    if (reader.hasMore())
        reply.hasLostStore = reader.flag();
    if (reader.hasMore()) {
        reader.nested([&](FieldReader& item) {
            auto& probe = reply.probe.emplace();
            probe.stateSequence = item.number();
            probe.stateBytes = item.number();
            probe.padding = item.bytes();
        });
    }
    return reply;
}

static FailureNotice parseFailureNotice(FieldReader& reader, base::Instant now)
{
    FailureNotice notice;
    reader.nested([&](FieldReader& item) { parse(item, notice.from); });
    reader.forEach([&](FieldReader& item) {
        fleet::SuspicionReport suspicion;
        suspicion.upstream.text = item.text();
        suspicion.service.text = item.text();
        suspicion.cause = static_cast<fleet::SuspicionCause>(item.number(static_cast<uint64_t>(fleet::SuspicionCause::Replaced)));
        suspicion.detectedAt = now - parseAge(item);
        if (item.hasMore())
            suspicion.incarnation = item.number();
        notice.suspicions.push_back(std::move(suspicion));
    });
    if (reader.hasMore()) {
        reader.forEach([&](FieldReader& item) {
            auto& crash = notice.crashes.emplace_back();
            crash.fingerprint.value = item.number(UINT64_MAX);
            crash.sentAt = now - parseAge(item);
            crash.lostAt = now - parseAge(item);
        });
    }
    notice.parts = parsePartReports(reader, now);
    notice.clearances = parseClearances(reader, now);
    notice.trials = parseTrials(reader, now);
    if (reader.hasMore()) {
        reader.forEach([&](FieldReader& item) {
            auto& report = notice.leaving.emplace_back();
            report.upstream.text = item.text();
            report.service.text = item.text();
            report.incarnation = item.number();
        });
    }
    return notice;
}

static OriginQuery parseOriginQuery(FieldReader& reader)
{
    OriginQuery query;
    reader.nested([&](FieldReader& item) { parse(item, query.from); });
    reader.forEach([&](FieldReader& item) { query.attempts.push_back({ item.text() }); });
    if (reader.hasMore())
        query.listCheck = reader.number();
    return query;
}

static OriginReply parseOriginReply(FieldReader& reader)
{
    OriginReply reply;
    reader.nested([&](FieldReader& item) { parse(item, reply.from); });
    reader.forEach([&](FieldReader& item) {
        auto& record = reply.streams.emplace_back();
        record.attempt.text = item.text();
        record.origin.service.text = item.text();
        record.origin.version.text = item.text();
    });
    if (reader.hasMore()) {
        reply.listCheck = reader.number();
        reply.listVersion.era = reader.number();
        reply.listVersion.revision = reader.number();
        reply.isReader = reader.flag();
    }
    if (reader.hasMore()) {
        reader.forEach([&](FieldReader& item) { reply.unknown.push_back({ item.text() }); });
        reply.keptSince.era = reader.number();
        reply.keptSince.revision = reader.number();
    }
    return reply;
}

std::optional<Message> parseMessage(std::string_view bytes, base::Instant now)
{
    auto json = base::parseCbor(bytes);
    if (!json || !json->is_array())
        return std::nullopt;
    FieldReader reader(*json);
    std::optional<Message> message;
    switch (static_cast<MessageKind>(reader.number(static_cast<uint64_t>(MessageKind::OriginReply)))) {
    case MessageKind::Query:
        message = parseQuery(reader);
        break;
    case MessageKind::Reply:
        message = parseReply(reader, now);
        break;
    case MessageKind::FailureNotice:
        message = parseFailureNotice(reader, now);
        break;
    case MessageKind::OriginQuery:
        message = parseOriginQuery(reader);
        break;
    case MessageKind::OriginReply:
        message = parseOriginReply(reader);
        break;
    }
    if (!reader.isValid())
        return std::nullopt;
    return message;
}

} // namespace redwingseam::replication
