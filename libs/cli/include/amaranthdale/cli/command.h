// Command line of `amaranthdalectl`.
#pragma once

#include "amaranthdale/cli/verbs.h"

#include <string>
#include <vector>

namespace amaranthdale::cli {

/// Reads files given as arguments.
class FileReader
{
public:
    virtual ~FileReader() = default;

    /// Fails with NotFound if the file can't be opened or read, and with InvalidArgument if it is
    /// larger than 16 MB.
    virtual core::Outcome<std::string> read(const std::string &path) = 0;
};

std::unique_ptr<FileReader> makeFileReader();

/// Dependencies of `runCommand`.
struct CommandDependencies
{
    core::HttpSender &sender;
    BlockingClock &pacer;
    FileReader &files;
    Proposer proposer; ///< --user overrides the user.
};

/// Parses and runs one command. `arguments[0]` is the program's name.
ExitCode runCommand(const std::vector<std::string> &arguments, CommandDependencies environment,
                    std::ostream &results, std::ostream &errors);

} // namespace amaranthdale::cli
