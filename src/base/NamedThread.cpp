#include "base/NamedThread.h"

namespace redwingseam::base {

// JSON parsing needs the most stack on these threads, and the parsers limit nesting to 16 levels.
static constexpr size_t stackSizeBytes = 512 * 1024;
static constexpr size_t maxNameLength = 15;

NamedThread& NamedThread::operator=(NamedThread&& other) noexcept
{
    join();
    m_native = other.m_native;
    m_isRunning = std::exchange(other.m_isRunning, false);
    return *this;
}

void NamedThread::join()
{
    if (std::exchange(m_isRunning, false))
        pthread_join(m_native, nullptr);
}

void NamedThread::start(const std::string& name, void* (*entry)(void*), void* argument)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackSizeBytes);
    m_isRunning = !pthread_create(&m_native, &attributes, entry, argument);
    pthread_attr_destroy(&attributes);
    if (m_isRunning)
        pthread_setname_np(m_native, name.substr(0, maxNameLength).c_str());
}

} // namespace redwingseam::base
