#include "StoreHandler.h"

#include "base/MonotonicClock.h"

#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>

namespace redwingseam::standin {

using nlohmann::json;

static json formatItem(const StoredItem& item)
{
    json result { { "key", item.key }, { "version", item.version } };
    if (item.value)
        result["value"] = json::parse(*item.value, nullptr, false);
    else
        result["deleted"] = true;
    return result;
}

static StoreHandler::Response formatChanges(uint64_t revision, const std::vector<StoredItem>& items)
{
    auto objects = json::array();
    for (const auto& item : items)
        objects.push_back(formatItem(item));
    return { 200, json { { "revision", revision }, { "objects", std::move(objects) } }.dump() };
}

StoreHandler::Response StoreHandler::handle(const http::ServerRequest& request)
{
    static const std::string objectsPrefix = "/objects/";
    if (request.path.starts_with("/admin/"))
        return handleAdmin(request);
    if (m_isDown)
        return { 500, "{}" };
    if (auto delay = m_delayMillis.load()) {
        std::lock_guard guard(m_mutex);
        m_neverSignalled.waitFor(m_mutex, std::chrono::milliseconds(delay));
    }
    if (request.path.starts_with(objectsPrefix))
        return object(request, request.path.substr(objectsPrefix.size()));
    if (request.path == "/list")
        return list(request);
    if (request.path == "/watch")
        return watch(request);
    return { 404, "{}" };
}

bool StoreHandler::consumeWritePermit()
{
    auto second = std::chrono::duration_cast<std::chrono::seconds>(base::MonotonicClock {}.now().time_since_epoch()).count();
    if (m_currentSecond.exchange(second) != second)
        m_writesThisSecond = 0;
    return ++m_writesThisSecond <= m_writesPerSecond;
}

StoreHandler::Response StoreHandler::object(const http::ServerRequest& request, const std::string& key)
{
    if (request.method != "GET")
        return write(request, key);
    auto item = m_store.read(key);
    if (!item)
        return { 404, "{}" };
    return { 200, formatItem(*item).dump() };
}

StoreHandler::Response StoreHandler::write(const http::ServerRequest& request, const std::string& key)
{
    if (!consumeWritePermit())
        return { 429, "{}" };
    std::optional<uint64_t> expected;
    if (request.header("If-None-Match") == "*")
        expected = 0;
    else if (auto version = request.header("If-Match"); !version.empty())
        expected = std::strtoull(version.c_str(), nullptr, 10);
    std::optional<std::string> value;
    if (request.method == "PUT") {
        if (!json::accept(request.body))
            return { 400, "{}" };
        value = request.body;
    }
    auto [item, isWritten] = m_store.write(key, expected, std::move(value));
    auto droppedResponseInterval = m_droppedResponseInterval.load();
    bool isResponseDropped = droppedResponseInterval && ++m_writes % droppedResponseInterval == 0;
    if (isResponseDropped)
        return { 500, "{}" };
    return { isWritten ? 200U : 412U, formatItem(item).dump() };
}

StoreHandler::Response StoreHandler::list(const http::ServerRequest& request)
{
    uint64_t revision = 0;
    auto items = m_store.list(request.queryArgument("prefix"), revision);
    return formatChanges(revision, items);
}

StoreHandler::Response StoreHandler::watch(const http::ServerRequest& request)
{
    uint64_t revision = std::strtoull(request.queryArgument("after").c_str(), nullptr, 10);
    auto wait = std::strtol(request.queryArgument("wait_ms").c_str(), nullptr, 10);
    auto items = m_store.waitForChanges(request.queryArgument("prefix"), revision, std::chrono::milliseconds(wait));
    return formatChanges(revision, items);
}

StoreHandler::Response StoreHandler::handleAdmin(const http::ServerRequest& request)
{
    auto value = std::strtol(request.queryArgument("value").c_str(), nullptr, 10);
    if (request.path == "/admin/down")
        m_isDown = value != 0;
    else if (request.path == "/admin/slow")
        m_delayMillis = value;
    else if (request.path == "/admin/lose-every")
        m_droppedResponseInterval = static_cast<uint32_t>(value);
    else
        return { 404, "{}" };
    return { 200, "{}" };
}

} // namespace redwingseam::standin
