#include "redwingseam/membership/FactFactory.h"

#include <array>
#include <cstdio>

namespace redwingseam::membership {

Fact makeFact(const VmRecord& vm, uint64_t incarnation)
{
    return { { FactKind::Vm, vm.name.text }, incarnation, static_cast<uint64_t>(vm.state), vm };
}

Fact makeFact(const route::UpstreamRecord& upstream)
{
    return { { FactKind::Upstream, upstream.name.text }, upstream.incarnation, static_cast<uint64_t>(upstream.state), upstream };
}

Fact makeFact(const CrashReport& report)
{
    std::array<char, 24> digits {};
    std::snprintf(digits.data(), digits.size(), "%016lx", report.fingerprint.value);
    std::string subject = digits.data();
    // One fact for each death that a request was in flight at, and one for its conviction.
    bool isSuspicion = !report.isQuarantined && !report.crashes.empty();
    if (isSuspicion)
        subject += "/" + report.crashes.front().upstream.text + "/" + std::to_string(report.crashes.front().incarnation);
    return { { FactKind::Verdict, subject }, 0, report.wasSuspect ? 1U : 0U, report };
}

Fact makeFact(const HeavyClients& heavy, uint64_t incarnation, uint64_t sequence)
{
    return { { FactKind::HeavyClients, heavy.vm.text }, incarnation, sequence, heavy };
}

Fact makeFact(const settings::Branch& branch)
{
    return { { FactKind::Branch, branch.path }, 0, branch.version.value, branch };
}

} // namespace redwingseam::membership
