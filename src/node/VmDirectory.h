#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/membership/VmRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::node {

// VMs that this node knows, with their state and peer address. Thread-safe.
class VmDirectory {
public:
    VmDirectory(base::VmName self, base::DataCentreName dataCentre)
        : m_self(std::move(self))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    void update(const membership::VmRecord&);
    std::vector<base::VmName> live();
    std::vector<base::VmName> liveInDataCentre(const base::DataCentreName&);
    std::vector<base::DataCentreName> otherDataCentres();
    std::optional<std::string> addressOf(const base::VmName&);
    std::vector<membership::VmRecord> all();
    const base::DataCentreName& dataCentre() const { return m_dataCentre; }

private:
    base::VmName m_self;
    base::DataCentreName m_dataCentre;
    base::Mutex m_mutex;
    std::map<base::VmName, membership::VmRecord> m_vms;
};

} // namespace redwingseam::node
