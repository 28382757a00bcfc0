// Choice of the member that does a task, and the count that shared budgets are divided by.
#include "amaranthdale/membership/members.h"

#include <doctest/doctest.h>

#include <map>

using namespace amaranthdale;
using namespace amaranthdale::membership;
using std::chrono::seconds;

namespace {

Member member(const std::string &name, const std::string &dataCentre, double cores = 1)
{
    return Member{
            core::InstanceName(name), core::DataCentreName(dataCentre), {"127.0.0.1", 1}, cores};
}

std::vector<Member> manyMembers(int count)
{
    std::vector<Member> all;
    for (int index = 0; index < count; ++index)
        all.push_back(member("i" + std::to_string(index), "a"));
    return all;
}

const core::TimePoint start{seconds(100)};

} // namespace

TEST_CASE("all instances give a task to the same member, or coordination would be split")
{
    const auto all = manyMembers(30);
    Members one(all[3]);
    Members other(all[17]);
    one.update(all, start);
    other.update(all, start);
    for (int task = 0; task < 50; ++task) {
        const std::string name = "task" + std::to_string(task);
        CHECK(one.assignee(name, {}, start) == other.assignee(name, {}, start));
    }
}

TEST_CASE("among the strong members one with more cores gets more tasks")
{
    Members members(member("small", "a", 0.3));
    members.update({member("small", "a", 0.3), member("big", "a", 0.5)}, start);
    int big = 0;
    for (int task = 0; task < 1600; ++task)
        big += members.assignee("t" + std::to_string(task), {}, start)->name.value == "big" ? 1 : 0;
    CHECK(big > 900);
    CHECK(big < 1100);
}

TEST_CASE("a suspected member gets no task until the suspicion ends")
{
    Members members(member("i0", "a"));
    members.update(manyMembers(5), start);
    const Member first = members.assignee("t", {}, start).value();
    if (first.name.value == "i0")
        return;
    members.suspect(Duty::Slots, first.name, start);
    CHECK(members.assignee("t", {}, start) != first);
    CHECK(members.assignee("t", {}, start + seconds(4)) == first);
}

// A service's hundreds of requests a second filled a weak machine, which was then avoided, and the
// next weak one filled.
TEST_CASE("the tasks of a data centre go to its strong members")
{
    Members members(member("s1", "a", 0.1));
    members.update({member("s2", "a", 0.1), member("b1", "a", 0.5), member("b2", "a", 0.4),
                    member("c", "other", 4)},
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

// Instances behind a partition would otherwise be asked, and waited for, again and again.
TEST_CASE("a member that stays silent is avoided for longer each time")
{
    Members members(member("i0", "a"));
    members.update({member("far", "b", 1000)}, start);
    members.suspect(Duty::Slots, core::InstanceName("far"), start);
    CHECK(members.assignee("t", {}, start + seconds(1))->name.value == "far");
    members.suspect(Duty::Slots, core::InstanceName("far"), start + seconds(1));
    CHECK(members.assignee("t", {}, start + seconds(2))->name.value == "i0");
    CHECK(members.assignee("t", {}, start + seconds(3))->name.value == "far");
    members.suspect(Duty::Slots, core::InstanceName("far"), start + seconds(60));
    CHECK(members.assignee("t", {}, start + seconds(61))->name.value == "far");
}

TEST_CASE("the strongest nearby member leads its data centre, and another one replaces it")
{
    Members members(member("c", "a", 0.1));
    members.update({member("b", "a", 0.5), member("a", "a", 0.1), member("z", "other", 4)}, start);
    CHECK(members.strongestNearby(start).name.value == "b");
    members.suspect(Duty::Relay, core::InstanceName("b"), start);
    CHECK(members.strongestNearby(start).name.value == "a");
}

// Budgets are divided by the count. Instances that lose the store drop out of the list within
// seconds and go on sending, so a count that fell at once would let all exceed a common bound.
TEST_CASE("the count falls only after a while")
{
    Members members(member("i0", "a"));
    CHECK(members.count(start) == 128);
    members.update(manyMembers(58), start);
    CHECK(members.count(start) == 58);
    members.update(manyMembers(20), start + seconds(5));
    CHECK(members.count(start + seconds(5)) == 58);
    members.update(manyMembers(20), start + seconds(31));
    CHECK(members.count(start + seconds(31)) == 20);
    members.update(manyMembers(60), start + seconds(32));
    CHECK(members.count(start + seconds(32)) == 60);
}

TEST_CASE("this instance stays a member although the list lacks it")
{
    Members members(member("me", "a"));
    members.update({}, start);
    CHECK(members.list().size() == 1);
    CHECK(members.assignee("t", {}, start)->name.value == "me");
}
