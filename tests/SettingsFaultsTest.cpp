#include "PropertyCheck.h"
#include "fakes/FaultSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

int64_t weightAt(fakes::FakeCluster<>& cluster, size_t node)
{
    return cluster.node(node).settings()->resolve("/", settings::Field::Weight).value;
}

template<typename Policies>
bool allHaveWeight(fakes::FakeCluster<Policies>& cluster, size_t nodes, int64_t weight)
{
    for (size_t node = 0; node < nodes; ++node) {
        if (!cluster.isRunning(node) || weightAt(cluster, node) != weight)
            return false;
    }
    return true;
}

} // namespace

TEST_GROUP(SettingsFaults) {};

TEST(SettingsFaults, EditTakesEffectEverywhereWithinSeconds)
{
    fakes::ClusterOptions options { .seed = 31, .nodes = 9, .dataCentres = 3 };
    fakes::Deployment<> deployment(options);
    fakes::editBranch(deployment.cluster, "/", R"({"weight":77})");
    deployment.cluster.runFor(5s);
    CHECK_TRUE(allHaveWeight(deployment.cluster, 9, 77));
}

TEST(SettingsFaults, RejectedEditKeepsTheLastAcceptedOneAndReportsTheReason)
{
    fakes::ClusterOptions options { .seed = 32, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    fakes::editBranch(cluster, "/", R"({"weight":77})");
    cluster.runFor(5s);
    fakes::editBranch(cluster, "/", R"({"weight":-1})");
    cluster.runFor(5s);
    CHECK_TRUE(allHaveWeight(cluster, 3, 77));
    const auto* object = cluster.store().find(store::branchStatusKey("/"));
    CHECK_TRUE(object != nullptr);
    const auto& status = std::get<store::BranchStatus>(*object->value);
    CHECK_FALSE(status.isAccepted);
    STRCMP_EQUAL("/weight: expected an integer from 1 to 1000, found -1", status.reason.c_str());
}

TEST(SettingsFaults, AcceptedSettingsNeverRevert)
{
    CHECK_PROPERTY("edits under every kind of fault", [](const std::vector<uint32_t>& faults) {
        fakes::ClusterOptions options { .seed = 33, .nodes = 6, .dataCentres = 3, .lostMessagesPermille = 50 };
        fakes::Deployment<> deployment(options);
        auto& cluster = deployment.cluster;
        static constexpr int64_t defaultWeight = 100;
        static constexpr int64_t notSeen = 0;
        std::vector<int64_t> lastSeen(options.nodes, notSeen);
        int64_t weight = defaultWeight;
        for (auto faultSelector : faults) {
            fakes::editBranch(cluster, "/", "{\"weight\":" + std::to_string(++weight) + "}");
            fakes::toggleFault(deployment, options, faultSelector);
            cluster.runFor(700ms);
            for (size_t node = 0; node < options.nodes; ++node) {
                if (!cluster.isRunning(node)) {
                    lastSeen[node] = notSeen;
                    continue;
                }
                auto seen = weightAt(cluster, node);
                bool isUnset = seen == defaultWeight && lastSeen[node] == notSeen;
                RC_ASSERT(isUnset || seen >= lastSeen[node]);
                lastSeen[node] = isUnset ? notSeen : seen;
            }
        }
        fakes::clearFaults(deployment, options);
        cluster.runFor(18s);
        RC_ASSERT(allHaveWeight(cluster, options.nodes, weight));
    });
}

TEST(SettingsFaults, NodeThatStartsWhileThePlatformIsDownLearnsFromPeers)
{
    fakes::ClusterOptions options { .seed = 34, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    fakes::editBranch(cluster, "/", R"({"weight":55})");
    cluster.runFor(5s);
    cluster.setStoreDown(true);
    cluster.crashNode(1);
    cluster.runFor(2s);
    cluster.startNode(1);
    cluster.runFor(5s);
    LONGS_EQUAL(55, weightAt(cluster, 1));
    auto caller = cluster.call(1, fakes::generationRequest("p", 10));
    cluster.runFor(5s);
    CHECK_TRUE(cluster.callers()[caller].finish.has_value());
}

TEST(SettingsFaults, DataCentreCutOffServesForAnHour)
{
    fakes::ClusterOptions options { .seed = 35, .nodes = 6, .dataCentres = 3 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    cluster.setPartitioned(1, true);
    for (size_t minute = 0; minute < 60; ++minute) {
        cluster.call(1, fakes::generationRequest("cut " + std::to_string(minute), 10));
        cluster.call(0, fakes::generationRequest("others " + std::to_string(minute), 10));
        cluster.runFor(60s);
    }
    for (const auto& caller : cluster.callers())
        CHECK_TRUE(caller.finish.has_value());
}
