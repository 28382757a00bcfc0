// The command line of `amaranthdalectl`.
#pragma once

#include "amaranthdale/cli/verbs.h"

#include <string>
#include <vector>

namespace amaranthdale::cli {

/// Reads files that commands name.
class FileReader
{
public:
    virtual ~FileReader() = default;

    /// NotFound when the file can't be opened; InvalidArgument when it is larger than 16 MB.
    virtual core::Outcome<std::string> read(const std::string &path) = 0;
};

std::unique_ptr<FileReader> makeFileReader();

/// What the program runs on.
struct Environment
{
    core::HttpSender &sender;
    Pacer &pacer;
    FileReader &files;
    Proposer proposer; ///< The user may be replaced by --user.
};

/// Runs one command. `arguments` starts with the program's name.
ExitCode runCommand(const std::vector<std::string> &arguments, Environment environment,
                    std::ostream &results, std::ostream &errors);

} // namespace amaranthdale::cli
