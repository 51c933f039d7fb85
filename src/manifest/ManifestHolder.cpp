#include "manifest/ManifestHolder.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::manifest {

bool ManifestHolder::update(Manifest manifest, std::string text, base::Instant readBegan)
{
    auto version = manifest.version;
    bool isNewer = false;
    {
        std::lock_guard guard(m_mutex);
        isNewer = !m_state.index || version > m_state.index->manifest().version;
    }
    // The index is built outside the lock, because requests take the same lock.
    auto index = isNewer ? std::make_shared<const ManifestIndex>(std::move(manifest)) : nullptr;
    std::lock_guard guard(m_mutex);
    auto currentVersion = m_state.index ? m_state.index->manifest().version : 0;
    if (m_state.index && version < currentVersion)
        return false;
    bool isChanged = index && (!m_state.index || version > currentVersion);
    if (isChanged) {
        m_state.index = std::move(index);
        m_state.text = std::make_shared<const std::string>(std::move(text));
    }
    m_state.confirmedAt = std::max(m_state.confirmedAt, readBegan);
    return isChanged;
}

void ManifestHolder::confirmUnchanged(uint64_t version, base::Instant readBegan)
{
    std::lock_guard guard(m_mutex);
    if (m_state.index && m_state.index->manifest().version == version)
        m_state.confirmedAt = std::max(m_state.confirmedAt, readBegan);
}

ManifestState ManifestHolder::state() const
{
    std::lock_guard guard(m_mutex);
    return m_state;
}

} // namespace redwingseam::manifest
