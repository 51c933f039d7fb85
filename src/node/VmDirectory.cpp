#include "node/VmDirectory.h"

#include <mutex>
#include <set>

namespace redwingseam::node {

void VmDirectory::update(const membership::VmRecord& record)
{
    std::lock_guard guard(m_mutex);
    m_vms[record.name] = record;
}

std::vector<base::VmName> VmDirectory::live()
{
    std::lock_guard guard(m_mutex);
    std::vector<base::VmName> names;
    for (const auto& [name, record] : m_vms) {
        if (record.state == membership::VmState::Live)
            names.push_back(name);
    }
    return names;
}

std::vector<base::VmName> VmDirectory::liveInDataCentre(const base::DataCentreName& dataCentre)
{
    std::lock_guard guard(m_mutex);
    std::vector<base::VmName> names;
    for (const auto& [name, record] : m_vms) {
        if (record.state == membership::VmState::Live && record.dataCentre == dataCentre)
            names.push_back(name);
    }
    return names;
}

std::vector<base::DataCentreName> VmDirectory::otherDataCentres()
{
    std::lock_guard guard(m_mutex);
    std::set<base::DataCentreName> names;
    for (const auto& [name, record] : m_vms) {
        if (record.state == membership::VmState::Live && record.dataCentre != m_dataCentre)
            names.insert(record.dataCentre);
    }
    return { names.begin(), names.end() };
}

std::optional<std::string> VmDirectory::addressOf(const base::VmName& name)
{
    std::lock_guard guard(m_mutex);
    auto found = m_vms.find(name);
    if (found == m_vms.end() || found->second.state == membership::VmState::Gone)
        return std::nullopt;
    return found->second.peerAddress;
}

std::vector<membership::VmRecord> VmDirectory::all()
{
    std::lock_guard guard(m_mutex);
    std::vector<membership::VmRecord> records;
    for (const auto& [name, record] : m_vms)
        records.push_back(record);
    return records;
}

} // namespace redwingseam::node
