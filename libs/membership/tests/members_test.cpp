// Selection of the member for a task, and the instance count that shared budgets are divided by.
#include "amaranthdale/membership/members.h"

#include <doctest/doctest.h>

#include <map>

using namespace amaranthdale;
using namespace amaranthdale::membership;
using std::chrono::seconds;

namespace {

Member makeMember(const std::string &name, const std::string &dataCentre, double cores = 1)
{
    return Member{
            core::InstanceName(name), core::DataCentreName(dataCentre), {"127.0.0.1", 1}, cores};
}

std::vector<Member> makeMembers(int count)
{
    std::vector<Member> all;
    for (int index = 0; index < count; ++index)
        all.push_back(makeMember("i" + std::to_string(index), "a"));
    return all;
}

const core::TimePoint start{seconds(100)};

} // namespace

// Otherwise several instances would allocate the slots of the same servers.
TEST_CASE("instances with the same list assign a task to the same member")
{
    const auto all = makeMembers(30);
    Members one(all[3]);
    Members other(all[17]);
    one.update(all, start);
    other.update(all, start);
    for (int task = 0; task < 50; ++task) {
        const std::string name = "task" + std::to_string(task);
        CHECK(one.assignee(name, {}, start) == other.assignee(name, {}, start));
    }
}

TEST_CASE("exactly one instance counts as assigned to a task, whoever suspects it")
{
    const auto all = makeMembers(10);
    const core::TimePoint settled = start + seconds(4);
    for (int task = 0; task < 20; ++task) {
        const std::string name = "task" + std::to_string(task);
        int assigned = 0;
        for (const Member &own : all) {
            Members members(own);
            CHECK(!members.isAssigned(name, {}, settled)); // Knows no list yet.
            members.update(all, start);
            CHECK(!members.isAssigned(name, {}, start + seconds(1))); // May be incomplete.
            const auto usual = members.assignee(name, {}, settled);
            REQUIRE(usual);
            members.suspect(InstanceRole::Slots, usual->name, settled);
            assigned += members.isAssigned(name, {}, settled) ? 1 : 0;
            CHECK(members.isAssigned(name, {}, settled) == (usual->name == own.name));
        }
        CHECK(assigned == 1);
    }
}

TEST_CASE("an eligible member with more cores gets more tasks")
{
    Members members(makeMember("small", "a", 0.3));
    members.update({makeMember("small", "a", 0.3), makeMember("big", "a", 0.5)}, start);
    int tasksOfBig = 0;
    for (int task = 0; task < 1600; ++task)
        tasksOfBig += members.assignee("t" + std::to_string(task), {}, start)->name.value == "big"
                ? 1
                : 0;
    CHECK(tasksOfBig > 900);
    CHECK(tasksOfBig < 1100);
}

TEST_CASE("a suspected member gets no task until the suspicion ends")
{
    Members members(makeMember("i0", "a"));
    members.update(makeMembers(5), start);
    const Member first = members.assignee("t", {}, start).value();
    if (first.name.value == "i0")
        return;
    members.suspect(InstanceRole::Slots, first.name, start);
    CHECK(members.assignee("t", {}, start) != first);
    CHECK(members.assignee("t", {}, start + seconds(4)) == first);
}

// Hundreds of requests/s for one service overloaded a small machine, which was then suspected, and
// the task moved to the next small machine and overloaded it as well.
TEST_CASE("the tasks of a data centre go to its members with the most cores")
{
    Members members(makeMember("s1", "a", 0.1));
    members.update({makeMember("s2", "a", 0.1), makeMember("b1", "a", 0.5),
                    makeMember("b2", "a", 0.4), makeMember("c", "other", 4)},
                   start);
    std::map<std::string, int> tasks;
    for (int task = 0; task < 100; ++task)
        ++tasks[members.assignee("t" + std::to_string(task), core::DataCentreName("a"), start)
                        ->name.value];
    CHECK(tasks.size() == 2);
    CHECK(tasks["b1"] + tasks["b2"] == 100);
    CHECK(!members.assignee("t", core::DataCentreName("nowhere"), start));
    CHECK(members.dataCentres().size() == 2);
}

// Otherwise, instances behind a network partition are asked repeatedly and each request times out.
TEST_CASE("the suspicion of a member that repeatedly fails to answer gets longer")
{
    Members members(makeMember("i0", "a"));
    members.update({makeMember("far", "b", 1000)}, start);
    members.suspect(InstanceRole::Slots, core::InstanceName("far"), start);
    CHECK(members.assignee("t", {}, start + seconds(1))->name.value == "far");
    members.suspect(InstanceRole::Slots, core::InstanceName("far"), start + seconds(1));
    CHECK(members.assignee("t", {}, start + seconds(2))->name.value == "i0");
    CHECK(members.assignee("t", {}, start + seconds(3))->name.value == "far");
    members.suspect(InstanceRole::Slots, core::InstanceName("far"), start + seconds(60));
    CHECK(members.assignee("t", {}, start + seconds(61))->name.value == "far");
}

TEST_CASE("the relay is the member of the data centre with the most cores that isn't suspected")
{
    Members members(makeMember("c", "a", 0.1));
    members.update(
            {makeMember("b", "a", 0.5), makeMember("a", "a", 0.1), makeMember("z", "other", 4)},
            start);
    CHECK(members.selectRelay(start).name.value == "b");
    members.suspect(InstanceRole::Relay, core::InstanceName("b"), start);
    CHECK(members.selectRelay(start).name.value == "a");
}

// Shared budgets are divided by the count. Instances that are cut off drop out of the list within
// seconds but continue to send, so a count that decreased immediately would let the instances
// exceed a shared limit. So would a first list that is incomplete because all instances start.
TEST_CASE("the count decreases only after the retention period")
{
    Members members(makeMember("i0", "a"));
    CHECK(members.count(start) == 1500);
    members.update(makeMembers(7), start);
    CHECK(members.count(start) == 1500);
    members.update(makeMembers(58), start + seconds(2));
    CHECK(members.count(start + seconds(2)) == 1500);
    CHECK(members.count(start + seconds(3)) == 58);
    members.update(makeMembers(20), start + seconds(5));
    CHECK(members.count(start + seconds(5)) == 58);
    members.update(makeMembers(20), start + seconds(300));
    CHECK(members.count(start + seconds(300)) == 58);
    members.update(makeMembers(20), start + seconds(303));
    CHECK(members.count(start + seconds(303)) == 20);
    members.update(makeMembers(60), start + seconds(304));
    CHECK(members.count(start + seconds(304)) == 60);
}

TEST_CASE("this instance is a member even if the list lacks it")
{
    Members members(makeMember("me", "a"));
    members.update({}, start);
    CHECK(members.list().size() == 1);
    CHECK(members.assignee("t", {}, start)->name.value == "me");
}
