// Child processes of the integration tests.
#include "process.h"

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/posix.hpp>

#include <sys/prctl.h>

#include <csignal>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace amaranthdale::testing {

namespace bp = boost::process;

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);

// A test that CTest kills runs no destructors, so the kernel kills its children instead.
const auto killWithParent = [](auto &) { ::prctl(PR_SET_PDEATHSIG, SIGKILL); };

} // namespace

bool eventually(core::Duration timeout, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void sleepFor(core::Duration duration)
{
    std::this_thread::sleep_for(duration);
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &errorFile)
    : child(std::string(AMARANTHDALE_PROGRAMS) + "/" + program, bp::args(arguments),
            bp::std_in<bp::null, bp::std_out> this->standardOutput, bp::std_err > errorFile,
            bp::extend::on_exec_setup = killWithParent)
{ }

Process::~Process()
{
    this->kill();
}

core::Endpoint Process::endpoint(const std::string &name)
{
    std::string line;
    while (!this->endpoints.contains(name) && std::getline(this->standardOutput, line)) {
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            const std::size_t equals = word.find('=');
            auto parsed =
                    core::attempt([&] { return core::parseEndpoint(word.substr(equals + 1)); });
            if (equals != std::string::npos && parsed)
                this->endpoints[word.substr(0, equals)] = *parsed;
        }
    }
    const auto found = this->endpoints.find(name);
    if (found == this->endpoints.end())
        throw std::runtime_error("the program ended before it printed " + name + "=");
    return found->second;
}

void Process::signal(int signalNumber)
{
    // The id of a child that was already reaped may belong to another process.
    if (this->child.running())
        ::kill(this->child.id(), signalNumber);
}

void Process::kill()
{
    std::error_code ignored;
    if (!this->child.running(ignored))
        return;
    ::kill(this->child.id(), SIGKILL);
    this->child.wait(ignored);
}

int Process::wait(core::Duration timeout)
{
    const bool ended = eventually(timeout, [this] { return !this->child.running(); });
    return ended ? this->child.exit_code() : -1;
}

std::string Process::output()
{
    return {std::istreambuf_iterator<char>(this->standardOutput), {}};
}

} // namespace amaranthdale::testing
