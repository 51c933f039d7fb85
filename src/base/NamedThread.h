#pragma once

#include <memory>
#include <pthread.h>
#include <string>
#include <utility>

namespace redwingseam::base {

// POSIX thread with a name and a bounded stack. The destructor joins it.
class NamedThread {
public:
    NamedThread() = default;

    // Runs `function` on a new thread. If the system cannot create a thread, the function is never run and leaks, and
    // no error is reported. `name` is truncated to 15 characters, the limit of the kernel.
    template<typename Function>
    NamedThread(const std::string& name, Function function)
    {
        auto* heapFunction = new Function(std::move(function));
        start(name, &run<Function>, heapFunction);
    }

    ~NamedThread() { join(); }
    NamedThread(NamedThread&& other) noexcept { *this = std::move(other); }
    NamedThread& operator=(NamedThread&&) noexcept;

    void join();

private:
    template<typename Function>
    static void* run(void* argument)
    {
        std::unique_ptr<Function> function(static_cast<Function*>(argument));
        (*function)();
        return nullptr;
    }

    void start(const std::string& name, void* (*entry)(void*), void* argument);

    pthread_t m_native {};
    bool m_isRunning = false;
};

} // namespace redwingseam::base
