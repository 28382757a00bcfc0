// Tests of the operator commands against an in-memory log and instances.
#include "amaranthdale/cli/command.h"
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/service_document_codec.h"
#include "fake_cluster.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace amaranthdale;
using namespace amaranthdale::cli;
using namespace std::chrono_literals;

namespace {

// Returns a document of service stockroom with one server per name.
std::string documentWith(const std::vector<std::string> &servers, const std::string &extra = "")
{
    std::string list;
    int port = 9000;
    for (const std::string &server : servers)
        list += (list.empty() ? "" : ",") + ("{\"name\":\"" + server)
                + "\",\"dataCentre\":\"gasabo\",\"endpoint\":\"10.0.0.1:" + std::to_string(++port)
                + "\",\"requestSlots\":4,\"coldSlots\":1,\"checksFence\":true}";
    return R"({"service":"stockroom","key":{"header":"X-Key"},"hashSlots":4,)" + extra
            + "\"servers\":[" + list + "]}";
}

std::string recordBy(const std::string &proposer, std::uint64_t basedOn, decisions::RecordBody body)
{
    const core::InstanceId id{core::InstanceName(proposer), core::Incarnation(5)};
    return records::encodeRecord({{id, basedOn}, core::LogOffset(basedOn), std::move(body)});
}

std::string documentRecord(const std::string &proposer, std::uint64_t basedOn,
                           const std::string &text)
{
    return recordBy(proposer, basedOn,
                    decisions::DocumentRecord{records::parseServiceDocument(text).value()});
}

struct CommandFixture : FileReader
{
    core::Outcome<std::string> read(const std::string &path) override
    {
        if (path == "missing")
            return core::Error{core::ErrorKind::NotFound, "missing can't be opened"};
        return this->file;
    }

    ExitCode run(std::vector<std::string> arguments, bool withEndpoints = true)
    {
        arguments.insert(arguments.begin(), "amaranthdalectl");
        if (withEndpoints)
            arguments.insert(
                    arguments.end(),
                    {"--instance", "10.0.0.1:8082", "--log", "10.0.0.9:7000", "--wait", "2s"});
        this->results.str("");
        this->errors.str("");
        return runCommand(arguments,
                          {this->cluster, this->pacer, *this, {"eva", core::Incarnation(77)}},
                          this->results, this->errors);
    }

    bool showed(const std::string &text) const
    {
        return this->results.str().find(text) != std::string::npos
                || this->errors.str().find(text) != std::string::npos;
    }

    FakeCluster cluster;
    FakePacer pacer;
    std::string file = documentWith({"s1", "s2"});
    std::ostringstream results;
    std::ostringstream errors;
};

} // namespace

TEST_CASE_FIXTURE(CommandFixture, "usage errors and failures have different exit codes")
{
    CHECK(run({}) == ExitCode::UsageError);
    CHECK(run({"paint"}) == ExitCode::UsageError);
    CHECK(run({"plan"}) == ExitCode::UsageError);
    CHECK(run({"report", "--colour"}) == ExitCode::UsageError);
    CHECK(run({"plan", "f", "--csv"}) == ExitCode::UsageError);
    CHECK(run({"report"}, false) == ExitCode::UsageError);
    CHECK(run({"apply", "f", "--replaces", "x"}) == ExitCode::UsageError);
    CHECK(run({"apply", "f", "--user", "eva\nforged"}) == ExitCode::UsageError);
    CHECK(run({"check", "missing"}) == ExitCode::Failure);
    CHECK(run({"--help"}) == ExitCode::Success);
    CHECK(run({"--version"}) == ExitCode::Success);
    CHECK(cluster.records.empty());
}

TEST_CASE_FIXTURE(CommandFixture, "check lists all errors, not only the first")
{
    CHECK(run({"check", "f"}, false) == ExitCode::Success);
    file = documentWith({"s1", "s1"}, "\"hashSlots\":0,\"speed\":1,");
    CHECK(run({"check", "f"}, false) == ExitCode::Failure);
    CHECK(showed("servers[1].name"));
    CHECK(showed("speed"));
    CHECK(run({"check", "f", "--json"}, false) == ExitCode::Failure);
    CHECK(boost::json::parse(results.str()).at("faults").as_array().size() >= 3);
}

TEST_CASE_FIXTURE(CommandFixture, "plan shows servers and the slots that have to move")
{
    const core::InstanceId first{core::InstanceName("i1"), core::Incarnation(5)};
    cluster.append(documentRecord("operator:ana", 0, file));
    cluster.append(
            recordBy("i1", 1, decisions::ControllerRecord{core::ServerName("s1"), first, {}}));
    cluster.append(recordBy("i1", 2,
                            decisions::SlotRecord{core::ServiceName("stockroom"),
                                                  {},
                                                  {},
                                                  decisions::ReassignmentReason::Initial,
                                                  {{core::ServerName("s1"), {0, 1, 2}, {}}}}));
    file = documentWith({"s2", "s3"});
    REQUIRE(run({"plan", "f"}) == ExitCode::Success);
    CHECK(showed("servers added: s3"));
    CHECK(showed("servers removed: s1"));
    CHECK(showed("s1 gives up 3 slots and 0 hot keys"));
    CHECK(showed("slots to move: 3"));
    REQUIRE(run({"plan", "f", "--json"}) == ExitCode::Success);
    CHECK(boost::json::parse(results.str()).at("slotsToMove").to_number<int>() == 3);
    CHECK(cluster.records.size() == 3);
}

TEST_CASE_FIXTURE(CommandFixture, "plan rejects a document that replay would drop")
{
    cluster.append(documentRecord("operator:ana", 0, file));
    file = documentWith({"s1"}, "\"hashSeed\":9,");
    CHECK(run({"plan", "f"}) == ExitCode::Failure);
    CHECK(showed("hashSlots and hashSeed are fixed"));
}

TEST_CASE_FIXTURE(CommandFixture, "apply waits until every live instance has replayed the record")
{
    cluster.instancesFollow = false;
    pacer.whenPaused = [this, pauses = 0]() mutable {
        cluster.instances[++pauses < 4 ? "i1" : "i2"] = 1;
    };
    REQUIRE(run({"apply", "f"}) == ExitCode::Success);
    CHECK(showed("in force on 2 instances as record 1 after 200 ms"));
    CHECK(records::decodeRecord(cluster.records.at(0))->id.proposer.name
          == core::InstanceName("operator:eva"));
    CHECK(run({"apply", "f"}) == ExitCode::Success);
    CHECK(showed("already in force since record 1"));
    CHECK(cluster.records.size() == 1);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "apply fails and names the instance that didn't replay the record")
{
    cluster.instancesFollow = false;
    cluster.instances["i1"] = 1;
    CHECK(run({"apply", "f"}) == ExitCode::Failure);
    CHECK(showed("i2 at 0"));
    CHECK(showed("it stays accepted"));
}

TEST_CASE_FIXTURE(CommandFixture,
                  "apply waits for a live instance without heartbeat, but not for a leaving one")
{
    cluster.otherInstances.push_back({core::InstanceName("i3"), {}, true, {}});
    CHECK(run({"apply", "f"}) == ExitCode::Success);
    CHECK(showed("on 2 instances"));
    cluster.otherInstances[0].leaving = false;
    file = documentWith({"s3"});
    CHECK(run({"apply", "f"}) == ExitCode::Failure);
    CHECK(showed("i3 without heartbeat"));
}

TEST_CASE_FIXTURE(CommandFixture, "apply fails if the list of instances is empty")
{
    cluster.instances.clear();
    CHECK(run({"apply", "f"}) == ExitCode::Failure);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "a conflicting change fails and names the author of the record in force")
{
    const std::string winning = documentWith({"s9"});
    cluster.beforeAppend = [&] { cluster.append(documentRecord("operator:ana", 0, winning)); };
    CHECK(run({"apply", "f"}) == ExitCode::Failure);
    CHECK(showed("operator:ana won the race with record 1"));
    CHECK(cluster.state().findServer(core::ServerName("s9")) != nullptr);
    CHECK(cluster.state().findServer(core::ServerName("s1")) == nullptr);
}

TEST_CASE_FIXTURE(CommandFixture, "a document based on an old version is not appended")
{
    cluster.append(documentRecord("operator:ana", 0, documentWith({"s9"})));
    cluster.append(documentRecord("operator:bia", 1, documentWith({"s8"})));
    CHECK(run({"apply", "f", "--replaces", "1"}) == ExitCode::Failure);
    CHECK(showed("operator:bia won the race with record 2"));
    CHECK(cluster.records.size() == 2);
    CHECK(run({"apply", "f", "--replaces", "2"}) == ExitCode::Success);
}

TEST_CASE_FIXTURE(CommandFixture, "apply succeeds if only the response to the append is lost")
{
    cluster.loseAppendResponse = true;
    CHECK(run({"apply", "f"}) == ExitCode::Success);
    CHECK(cluster.records.size() == 1);
}

TEST_CASE_FIXTURE(CommandFixture,
                  "errors of the log state whether the append may have taken effect")
{
    cluster.logError = core::Error{core::ErrorKind::Unavailable, "connect failed"};
    CHECK(run({"apply", "f"}) == ExitCode::Failure);
    CHECK(showed("nothing was appended"));
    cluster.logError = core::Error{core::ErrorKind::Timeout, "no response"};
    CHECK(run({"apply", "f", "--json"}) == ExitCode::Failure);
    CHECK(showed("it is unknown whether the append took effect"));
}

TEST_CASE_FIXTURE(CommandFixture,
                  "a data centre is drained and returned, and an unknown one is rejected")
{
    cluster.append(documentRecord("operator:ana", 0, file));
    CHECK(run({"drain-data-centre", "gasbo"}) == ExitCode::Failure);
    CHECK(cluster.records.size() == 1);
    CHECK(run({"drain-data-centre", "gasabo"}) == ExitCode::Success);
    CHECK(cluster.state().isDrained(core::DataCentreName("gasabo")));
    CHECK(run({"drain-data-centre", "gasabo"}) == ExitCode::Success);
    CHECK(cluster.records.size() == 2);
    CHECK(run({"return-data-centre", "gasabo"}) == ExitCode::Success);
    CHECK_FALSE(cluster.state().isDrained(core::DataCentreName("gasabo")));
}

TEST_CASE_FIXTURE(CommandFixture, "explain percent-encodes the key and shows the reasons")
{
    cluster.append(documentRecord("operator:ana", 0, file));
    CHECK(run({"explain", "stockroom", "a,b&c=d e"}) == ExitCode::Success);
    CHECK(cluster.targets.back() == "/explain?service=stockroom&key=a%2Cb%26c%3Dd%20e");
    CHECK(showed("server: none"));
    CHECK(showed("the key has no owner yet"));
    CHECK(run({"explain", "unknown", "a"}) == ExitCode::Failure);
}

TEST_CASE_FIXTURE(CommandFixture, "report is shown in each format")
{
    CHECK(run({"report"}) == ExitCode::Success);
    CHECK(showed("instances\n  instance"));
    CHECK(run({"report", "--json"}) == ExitCode::Success);
    CHECK(showed("{\"parts\":[{\"instance\":\"i1\""));
    CHECK(run({"report", "--csv"}) == ExitCode::Success);
    CHECK(showed("table,instance"));
}
