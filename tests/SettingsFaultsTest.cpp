#include "PropertyCheck.h"
#include "fakes/FaultSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

int64_t weightAt(fakes::FakeWorld<>& world, size_t node)
{
    return world.node(node).settings()->resolve("/", settings::Field::Weight).value;
}

template<typename Policies>
bool allHaveWeight(fakes::FakeWorld<Policies>& world, size_t nodes, int64_t weight)
{
    for (size_t node = 0; node < nodes; ++node) {
        if (!world.isRunning(node) || weightAt(world, node) != weight)
            return false;
    }
    return true;
}

} // namespace

TEST_GROUP(SettingsFaults) {};

TEST(SettingsFaults, EditTakesEffectEverywhereWithinSeconds)
{
    fakes::WorldOptions options { .seed = 31, .nodes = 9, .dataCentres = 3 };
    fakes::Deployment<> deployment(options);
    fakes::editBranch(deployment.world, "/", R"({"weight":77})");
    deployment.world.runFor(5s);
    CHECK_TRUE(allHaveWeight(deployment.world, 9, 77));
}

TEST(SettingsFaults, RejectedEditKeepsTheLastAcceptedOneAndReportsTheReason)
{
    fakes::WorldOptions options { .seed = 32, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& world = deployment.world;
    fakes::editBranch(world, "/", R"({"weight":77})");
    world.runFor(5s);
    fakes::editBranch(world, "/", R"({"weight":-1})");
    world.runFor(5s);
    CHECK_TRUE(allHaveWeight(world, 3, 77));
    const auto* object = world.store().find(store::branchStatusKey("/"));
    CHECK_TRUE(object != nullptr);
    const auto& status = std::get<store::BranchStatus>(*object->value);
    CHECK_FALSE(status.isAccepted);
    STRCMP_EQUAL("/weight: expected an integer from 1 to 1000", status.reason.c_str());
}

TEST(SettingsFaults, AcceptedSettingsNeverRevert)
{
    CHECK_PROPERTY("edits under every kind of fault", [](const std::vector<uint32_t>& faults) {
        fakes::WorldOptions options { .seed = 33, .nodes = 6, .dataCentres = 3, .lostMessagesPermille = 50 };
        fakes::Deployment<> deployment(options);
        auto& world = deployment.world;
        std::vector<int64_t> lastSeen(options.nodes, 0);
        int64_t weight = 100;
        for (auto word : faults) {
            fakes::editBranch(world, "/", "{\"weight\":" + std::to_string(++weight) + "}");
            fakes::toggleFault(deployment, options, word);
            world.runFor(700ms);
            for (size_t node = 0; node < options.nodes; ++node) {
                if (!world.isRunning(node)) {
                    lastSeen[node] = 0;
                    continue;
                }
                auto seen = weightAt(world, node);
                bool isUnset = seen == 100 && !lastSeen[node];
                RC_ASSERT(isUnset || seen >= lastSeen[node]);
                lastSeen[node] = isUnset ? 0 : seen;
            }
        }
        fakes::healAll(deployment, options);
        world.runFor(18s);
        RC_ASSERT(allHaveWeight(world, options.nodes, weight));
    });
}

TEST(SettingsFaults, NodeThatStartsWhileThePlatformIsDownLearnsFromPeers)
{
    fakes::WorldOptions options { .seed = 34, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& world = deployment.world;
    fakes::editBranch(world, "/", R"({"weight":55})");
    world.runFor(5s);
    world.setStoreDown(true);
    world.crashNode(1);
    world.runFor(2s);
    world.startNode(1);
    world.runFor(5s);
    LONGS_EQUAL(55, weightAt(world, 1));
    auto caller = world.call(1, fakes::generation("p", 10));
    world.runFor(5s);
    CHECK_TRUE(world.callers()[caller].finish.has_value());
}

TEST(SettingsFaults, DataCentreCutOffServesForAnHour)
{
    fakes::WorldOptions options { .seed = 35, .nodes = 6, .dataCentres = 3 };
    fakes::Deployment<> deployment(options);
    auto& world = deployment.world;
    world.setCut(1, true);
    for (size_t minute = 0; minute < 60; ++minute) {
        world.call(1, fakes::generation("cut " + std::to_string(minute), 10));
        world.call(0, fakes::generation("others " + std::to_string(minute), 10));
        world.runFor(60s);
    }
    for (const auto& caller : world.callers())
        CHECK_TRUE(caller.finish.has_value());
}
