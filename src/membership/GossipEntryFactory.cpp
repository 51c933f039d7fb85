#include "redwingseam/membership/GossipEntryFactory.h"

#include <array>
#include <cstdio>

namespace redwingseam::membership {

GossipEntry makeGossipEntry(const VmRecord& vm, uint64_t incarnation)
{
    return { { GossipKind::Vm, vm.name.text }, incarnation, static_cast<uint64_t>(vm.state), vm };
}

GossipEntry makeGossipEntry(const route::UpstreamRecord& upstream)
{
    return { { GossipKind::Upstream, upstream.name.text }, upstream.incarnation, static_cast<uint64_t>(upstream.state), upstream };
}

GossipEntry makeGossipEntry(const CrashReport& report)
{
    std::array<char, 24> digits {};
    std::snprintf(digits.data(), digits.size(), "%016lx", report.fingerprint.value);
    std::string subject = digits.data();
    // A request has one entry for each upstream crash during which it was in flight, and one for its
    // quarantine.
    bool isCrashEntry = !report.isQuarantined && !report.crashes.empty();
    if (isCrashEntry)
        subject += "/" + report.crashes.front().upstream.text + "/" + std::to_string(report.crashes.front().incarnation);
    return { { GossipKind::CrashReport, subject }, 0, report.wasSuspect ? 1U : 0U, report };
}

GossipEntry makeGossipEntry(const HeavyClients& heavy, uint64_t incarnation, uint64_t sequence)
{
    return { { GossipKind::HeavyClients, heavy.vm.text }, incarnation, sequence, heavy };
}

GossipEntry makeGossipEntry(const settings::Branch& branch)
{
    return { { GossipKind::Branch, branch.path }, 0, branch.version.value, branch };
}

} // namespace redwingseam::membership
