// Command line parsing: verbs and their options.
#include "amaranthdale/cli/command.h"

#include "amaranthdale/records/duration.h"
#include "output.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace amaranthdale::cli {

namespace {

using core::Error;
using core::ErrorKind;

constexpr std::string_view version = "0.1.0";

enum class Verb { Check, Plan, Apply, DrainDataCentre, ReturnDataCentre, Report, Explain };

struct VerbSpec
{
    std::string_view name;
    Verb verb;
    std::size_t arguments;
    std::string_view usage;
};

constexpr std::array<VerbSpec, 7> verbSpecs = {
        VerbSpec{"check", Verb::Check, 1, "check FILE               list all faults of a document"},
        VerbSpec{"plan", Verb::Plan, 1, "plan FILE                show what a document changes"},
        VerbSpec{"apply", Verb::Apply, 1, "apply FILE               put a document in force"},
        VerbSpec{"drain-data-centre", Verb::DrainDataCentre, 1,
                 "drain-data-centre NAME   take a data centre out of service"},
        VerbSpec{"return-data-centre", Verb::ReturnDataCentre, 1,
                 "return-data-centre NAME  return a data centre to service"},
        VerbSpec{"report", Verb::Report, 0,
                 "report                   show requests, load and ownership"},
        VerbSpec{"explain", Verb::Explain, 2,
                 "explain SERVICE KEY      show who owns a key and why"},
};

// Names in records and paths are limited to the identifiers that documents allow.
bool isIdentifier(const std::string &name)
{
    constexpr std::size_t maxNameLength = 64;
    return !name.empty() && name.size() <= maxNameLength
            && name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789._-@")
            == std::string::npos;
}

/// Command line options and arguments, not yet validated.
struct Arguments
{
    const VerbSpec *spec = nullptr;
    std::vector<std::string> values; ///< Arguments after the verb.
    std::string instance;
    std::string log;
    std::string stream;
    std::string user;
    std::string replaces;
    std::string wait;
    bool json = false;
    bool csv = false;
    bool help = false;
    bool version = false;
};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("amaranthdalectl", "Operator commands of amaranthdale.");
    auto add = options.add_options();
    add("instance", "operators' port of any instance, ADDRESS:PORT",
        cxxopts::value<std::string>()->default_value(""));
    add("log", "log service, ADDRESS:PORT; required for changes",
        cxxopts::value<std::string>()->default_value(""));
    add("stream", "stream of the log service",
        cxxopts::value<std::string>()->default_value("amaranthdale"));
    add("user", "user name to record with the change",
        cxxopts::value<std::string>()->default_value(""));
    add("replaces", "version that the document was edited from",
        cxxopts::value<std::string>()->default_value(""));
    add("wait", "time limit for the change to be in force everywhere, such as 30s",
        cxxopts::value<std::string>()->default_value("30s"));
    add("json", "write JSON");
    add("csv", "write CSV (report only)");
    add("help", "show this help");
    add("version", "show the version");
    options.positional_help("VERB ...");
    return options;
}

std::string helpText()
{
    std::string text = makeOptions().help() + "\nVerbs:\n";
    for (const VerbSpec &spec : verbSpecs)
        text += "  " + std::string(spec.usage) + "\n";
    return text + "\nExit codes: 0 success, 1 failure, 2 usage error.\n";
}

core::Outcome<const VerbSpec *> findVerb(const std::string &name, std::size_t arguments)
{
    const auto found = std::find_if(verbSpecs.begin(), verbSpecs.end(),
                                    [&name](const VerbSpec &spec) { return spec.name == name; });
    if (found == verbSpecs.end())
        return Error{ErrorKind::InvalidArgument, "unknown verb " + name + "; see --help"};
    if (found->arguments != arguments)
        return Error{ErrorKind::InvalidArgument,
                     "wrong number of arguments; usage: " + std::string(found->usage)};
    return &*found;
}

core::Outcome<Arguments> parseArguments(const std::vector<std::string> &words)
{
    std::vector<const char *> pointers;
    for (const std::string &word : words)
        pointers.push_back(word.c_str());
    Arguments arguments;
    try {
        cxxopts::Options options = makeOptions();
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        arguments.instance = parsed["instance"].as<std::string>();
        arguments.log = parsed["log"].as<std::string>();
        arguments.stream = parsed["stream"].as<std::string>();
        arguments.user = parsed["user"].as<std::string>();
        arguments.replaces = parsed["replaces"].as<std::string>();
        arguments.wait = parsed["wait"].as<std::string>();
        arguments.json = parsed.count("json") > 0;
        arguments.csv = parsed.count("csv") > 0;
        arguments.help = parsed.count("help") > 0;
        arguments.version = parsed.count("version") > 0;
        // Not a list option, since cxxopts splits the values of list options at commas.
        arguments.values = parsed.unmatched();
    } catch (const std::exception &error) {
        return Error{ErrorKind::InvalidArgument, std::string(error.what()) + "; see --help"};
    }
    return arguments;
}

// Runs a verb with parsed arguments. Returns usage errors, which the caller reports.
class CommandRunner
{
public:
    CommandRunner(const Arguments &callArguments, CommandDependencies callEnvironment,
                  const Output &callOutput)
        : arguments(callArguments), environment(std::move(callEnvironment)), output(callOutput)
    { }

    core::Outcome<ExitCode> run()
    {
        if (this->arguments.csv && this->arguments.spec->verb != Verb::Report)
            return usageError("--csv is only valid with report");
        if (this->arguments.csv && this->arguments.json)
            return usageError("--csv and --json are mutually exclusive; give one");
        switch (this->arguments.spec->verb) {
        case Verb::Check:
        case Verb::Plan:
        case Verb::Apply:
            return this->runDocumentVerb();
        case Verb::DrainDataCentre:
        case Verb::ReturnDataCentre:
            return this->runDataCentreVerb();
        case Verb::Report:
        case Verb::Explain:
            return this->runQuery();
        }
        return usageError("unknown verb");
    }

private:
    static Error usageError(std::string message)
    {
        return Error{ErrorKind::InvalidArgument, std::move(message)};
    }

    core::Outcome<core::Endpoint> endpoint(std::string_view option, const std::string &text) const
    {
        if (text.empty())
            return usageError("--" + std::string(option) + " is missing; give ADDRESS:PORT");
        return core::attempt([&text] { return core::parseEndpoint(text); });
    }

    core::Outcome<std::unique_ptr<ClusterClient>> cluster() const
    {
        const auto address = this->endpoint("instance", this->arguments.instance);
        if (!address)
            return address.error();
        return makeClusterClient(this->environment.sender, *address);
    }

    core::Outcome<ExitCode> runDocumentVerb()
    {
        // Options are checked before the file is read, so that usage errors take precedence over an
        // unreadable file.
        std::unique_ptr<ClusterClient> client;
        if (this->arguments.spec->verb != Verb::Check) {
            auto made = this->cluster();
            if (!made)
                return made.error();
            client = std::move(*made);
        }
        const core::Outcome<std::string> text =
                this->environment.files.read(this->arguments.values[0]);
        if (!text)
            return fail(this->output, text.error());
        if (this->arguments.spec->verb == Verb::Check)
            return checkDocument(*text, this->output);
        if (this->arguments.spec->verb == Verb::Plan)
            return planDocument(*text, *client, this->output);

        const auto replaced = this->replacedVersion();
        if (!replaced)
            return replaced.error();
        return this->change(*client, [&](const ChangeContext &context) {
            return applyDocument(*text, *replaced, context, this->output);
        });
    }

    core::Outcome<ExitCode> runDataCentreVerb()
    {
        auto client = this->cluster();
        if (!client)
            return client.error();
        const bool drained = this->arguments.spec->verb == Verb::DrainDataCentre;
        const core::DataCentreName name(this->arguments.values[0]);
        return this->change(**client, [&](const ChangeContext &context) {
            return setDataCentre(name, drained, context, this->output);
        });
    }

    core::Outcome<ExitCode> runQuery()
    {
        auto client = this->cluster();
        if (!client)
            return client.error();
        if (this->arguments.spec->verb == Verb::Explain)
            return showExplanation(core::ServiceName(this->arguments.values[0]),
                                   this->arguments.values[1], **client, this->output);
        report::Format format = report::Format::Text;
        if (this->arguments.json)
            format = report::Format::Json;
        if (this->arguments.csv)
            format = report::Format::Csv;
        return showReport(**client, format, this->output);
    }

    template<class Function>
    core::Outcome<ExitCode> change(ClusterClient &client, Function &&function)
    {
        const auto address = this->endpoint("log", this->arguments.log);
        if (!address)
            return address.error();
        const auto wait =
                core::attempt([this] { return records::parseDuration(this->arguments.wait); });
        if (!wait)
            return usageError("--wait: " + wait.error().message);
        Proposer proposer = this->environment.proposer;
        if (!this->arguments.user.empty())
            proposer.user = this->arguments.user;
        if (!isIdentifier(proposer.user))
            return usageError("the user's name may have up to 64 letters, digits and . _ - @; give "
                              "one with --user");
        if (!isIdentifier(this->arguments.stream))
            return usageError("--stream may have up to 64 letters, digits and . _ - @");
        const auto log = logclient::makeLogService(this->environment.sender, *address,
                                                   this->arguments.stream);
        const ChangeContext context{client, *log, this->environment.pacer, proposer, *wait};
        return function(context);
    }

    core::Outcome<std::optional<core::LogOffset>> replacedVersion() const
    {
        using Version = std::optional<core::LogOffset>;
        const std::string &text = this->arguments.replaces;
        if (text.empty())
            return Version();
        constexpr std::size_t maxDigits = 18;
        if (text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string::npos)
            return usageError("--replaces is not a version; give the number that plan shows");
        return Version(core::LogOffset(std::stoull(text)));
    }

    const Arguments &arguments;
    CommandDependencies environment;
    const Output &output;
};

} // namespace

ExitCode runCommand(const std::vector<std::string> &arguments, CommandDependencies environment,
                    std::ostream &results, std::ostream &errors)
{
    core::Outcome<Arguments> parsed = parseArguments(arguments);
    const Output output{results, errors, parsed && parsed->json};
    const auto usageError = [&output](const Error &error) {
        fail(output, error);
        return ExitCode::UsageError;
    };
    if (!parsed)
        return usageError(parsed.error());
    if (parsed->help || parsed->version) {
        results << (parsed->help ? helpText() : "amaranthdalectl " + std::string(version) + "\n");
        return ExitCode::Success;
    }
    if (parsed->values.empty())
        return usageError(Error{ErrorKind::InvalidArgument, "no verb given; see --help"});
    const std::string verb = parsed->values.front();
    parsed->values.erase(parsed->values.begin());
    const auto spec = findVerb(verb, parsed->values.size());
    if (!spec)
        return usageError(spec.error());
    parsed->spec = *spec;

    const core::Outcome<ExitCode> code =
            CommandRunner(*parsed, std::move(environment), output).run();
    return code ? *code : usageError(code.error());
}

} // namespace amaranthdale::cli
