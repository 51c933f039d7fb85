#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <cstdlib>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    // RapidCheck keeps caches that the leak detector would report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // Log lines would bury the results.
    FLAGS_minloglevel = google::NUM_SEVERITIES;
    // The same cases in every run, unless someone asks for others.
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
