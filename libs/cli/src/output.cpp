// Output of results and errors as text or JSON.
#include "output.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>

namespace amaranthdale::cli {

std::string printable(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](char character) {
                const auto code = static_cast<unsigned char>(character);
                return (code < 0x20 && character != '\n') || code == 0x7f;
            },
            '?');
    return text;
}

ExitCode fail(const Output &output, const core::Error &error)
{
    const std::string_view kind = core::errorKindName(error.kind);
    if (output.json) {
        writeJson(
                output,
                {{"error",
                  boost::json::object{{"kind", boost::json::string_view(kind.data(), kind.size())},
                                      {"message", boost::json::string(error.message)}}}});
    } else {
        output.errors << "error: " << printable(error.message) << "\n";
    }
    return ExitCode::Failure;
}

void writeJson(const Output &output, const boost::json::object &result)
{
    output.results << boost::json::serialize(result) << "\n";
}

} // namespace amaranthdale::cli
