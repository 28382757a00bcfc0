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

/// Asks `condition` every few milliseconds until it holds. False when `limit` passed before that.
bool eventually(core::Duration limit, const std::function<bool()> &condition);

/// Returns after `length`: for states whose duration is part of a scenario.
void hold(core::Duration length);

/// A program of this repository. It is killed when this object or the test process ends.
class Process
{
public:
    /// Standard error goes to `errorFile`, standard output is kept.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &errorFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Reads lines of the form `name=address:port ...` until `name` was seen.
    core::Endpoint endpoint(const std::string &name);

    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    /// Waits for the end; the exit code, or -1 when it hasn't ended within `limit`.
    int wait(core::Duration limit);

    /// What is left of standard output. Only after the end of the process.
    std::string output();

private:
    boost::process::ipstream out;
    boost::process::child child;
    std::map<std::string, core::Endpoint> endpoints;
};

} // namespace amaranthdale::testing
