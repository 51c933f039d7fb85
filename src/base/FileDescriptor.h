#pragma once

#include <unistd.h>
#include <utility>

namespace redwingseam::base {

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~FileDescriptor()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }
    FileDescriptor(FileDescriptor&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    // Swaps the descriptors, so the previous one is closed when `other` is destroyed.
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

} // namespace redwingseam::base
