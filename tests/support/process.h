// Child processes of the integration tests.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthdale::testing {

/// Polls `condition` every few milliseconds until it holds. Returns false on timeout.
bool eventually(core::Duration timeout, const std::function<bool()> &condition);

/// Sleeps for `duration`, for states whose duration is part of a scenario.
void sleepFor(core::Duration duration);

/// A child process that runs a program of this repository. It is killed when this object is
/// destroyed or the test process ends.
class Process
{
public:
    /// Writes standard error to `errorFile`; standard output goes to a pipe that this object reads.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &errorFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Reads output lines of the form `name=address:port ...` until one contains `name`. Throws if
    /// the program ends before that.
    core::Endpoint endpoint(const std::string &name);

    void signal(int signalNumber);

    /// Sends SIGKILL and waits for the process to end.
    void kill();

    /// Waits for the process to end. Returns its exit code, or -1 on timeout.
    int wait(core::Duration timeout);

    /// Reads the rest of standard output, up to the end of the process.
    std::string output();

private:
    boost::process::ipstream standardOutput;
    boost::process::child child;
    std::map<std::string, core::Endpoint> endpoints;
};

} // namespace amaranthdale::testing
