#include "daemon/VmConfig.h"

#include "base/ReadFile.h"
#include "codec/JsonReader.h"

namespace redwingseam::daemon {

using base::Error;
using base::ResultCode;

static constexpr uint64_t maxDrainSeconds = 24 * 3600;
static constexpr uint64_t maxMemoryMb = 1024 * 1024;
static constexpr size_t minSecretBytes = 16;

static base::Result<http::SocketAddress> readAddress(codec::JsonReader& reader, const char* key)
{
    auto address = http::parseSocketAddress(reader.text(key));
    if (!address)
        return Error { ResultCode::SettingsInvalid, "/listen/" + std::string(key) + ": " + address.error().detail };
    return address;
}

// Reads the VMs that this one contacts first, from the list `peers` at the root of the settings. Returns false if an
// entry is invalid.
static bool readSeeds(const nlohmann::json& array, std::vector<membership::VmRecord>& seeds)
{
    for (const auto& item : array) {
        codec::JsonReader seed(item);
        membership::VmRecord record { { seed.text("name") }, { seed.text("data_centre") }, seed.text("address"), membership::VmState::Live };
        if (!seed.isGood() || !http::parseSocketAddress(record.peerAddress))
            return false;
        seeds.push_back(std::move(record));
    }
    return true;
}

static base::Result<VmConfig> readAddresses(codec::JsonReader& listen, VmConfig config)
{
    BOOST_OUTCOME_TRY(config.callerAddress, readAddress(listen, "callers"));
    BOOST_OUTCOME_TRY(config.adminAddress, readAddress(listen, "admin"));
    BOOST_OUTCOME_TRY(config.peerAddress, readAddress(listen, "peers"));
    config.node.peerAddress = config.peerAddress.text();
    return config;
}

base::Result<VmConfig> parseVmConfig(std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return Error { ResultCode::SettingsUnreadable, "/: expected valid JSON" };
    codec::JsonReader reader(document);
    VmConfig config;
    config.node.self.text = reader.text("name");
    config.node.dataCentre.text = reader.text("data_centre");
    config.node.region.text = reader.text("region");
    config.platformUrl = reader.text("platform");
    config.secret = reader.text("secret");
    auto drainSeconds = reader.number("drain_timeout_s");
    codec::JsonReader listen(reader.object("listen"));
    if (!reader.isGood())
        return Error { ResultCode::SettingsInvalid, reader.failure() };
    if (config.node.self.empty())
        return Error { ResultCode::SettingsInvalid, "/name: expected a non-empty name" };
    if (config.secret.size() < minSecretBytes)
        return Error { ResultCode::SettingsInvalid, "/secret: expected " + std::to_string(minSecretBytes) + " bytes or more, found " + std::to_string(config.secret.size()) };
    if (!drainSeconds || drainSeconds > maxDrainSeconds)
        return Error { ResultCode::SettingsInvalid, "/drain_timeout_s: expected 1 to " + std::to_string(maxDrainSeconds) + ", found " + std::to_string(drainSeconds) };
    config.drainTimeout = std::chrono::seconds(drainSeconds);
    if (reader.has("memory_mb")) {
        auto memoryMb = reader.number("memory_mb");
        if (!memoryMb || memoryMb > maxMemoryMb)
            return Error { ResultCode::SettingsInvalid, "/memory_mb: expected 1 to " + std::to_string(maxMemoryMb) + ", found " + std::to_string(memoryMb) };
        config.memoryBytes = static_cast<size_t>(memoryMb) * 1024 * 1024;
    }
    if (reader.has("peers") && !readSeeds(reader.array("peers"), config.node.seedVms))
        return Error { ResultCode::SettingsInvalid, "/peers: expected objects with name, data_centre and address" };
    return readAddresses(listen, std::move(config));
}

base::Result<VmConfig> loadVmConfig(const std::string& path)
{
    auto text = base::readFile(path);
    if (!text)
        return text.error();
    auto config = parseVmConfig(text.value());
    if (!config)
        return Error { config.error().code, path + ": " + config.error().detail };
    return config;
}

} // namespace redwingseam::daemon
