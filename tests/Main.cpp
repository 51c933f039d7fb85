#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <cstdlib>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    // The leak detector would report RapidCheck's caches.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // Log lines would obscure the test results.
    FLAGS_minloglevel = google::NUM_SEVERITIES;
    // Every run generates the same cases, unless RC_PARAMS is set already.
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
