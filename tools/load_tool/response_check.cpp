// Checks responses of backend stand-ins as received by a caller.
#include "load_tool/response_check.h"

#include "amaranthdale/records/object_reader.h"
#include "common/replies.h"

namespace amaranthdale::tools {

namespace {

constexpr std::size_t maxTextBytes = 64 * 1024 * 1024;

struct EchoBody
{
    std::string requestId;
    std::string bodyHash;
    std::string method;
};

std::optional<EchoBody> parseEcho(const std::string &body)
{
    records::Faults faults;
    EchoBody echo;
    if (const auto value = records::parseJson(body, faults)) {
        records::ObjectReader reader(*value, "", faults);
        reader.text("requestId", echo.requestId, maxTextBytes);
        reader.text("bodyHash", echo.bodyHash, maxTextBytes);
        reader.text("method", echo.method, maxTextBytes);
    }
    return faults.empty() ? std::optional(echo) : std::nullopt;
}

} // namespace

history::CallOutcome callOutcome(const core::HttpResponse &response)
{
    const std::string_view text =
            core::findHeader(response.headers, "X-Outcome").value_or("unknown");
    if (text == "answered")
        return history::CallOutcome::Answered;
    return text == "not-run" ? history::CallOutcome::NotRun : history::CallOutcome::Unknown;
}

history::CallOutcome directCallOutcome(const core::HttpResponse &response)
{
    if (response.status == statusOk)
        return history::CallOutcome::Answered;
    const bool notRun = core::findHeader(response.headers, "X-Not-Run").has_value();
    return notRun ? history::CallOutcome::NotRun : history::CallOutcome::Unknown;
}

history::ResponseCheck checkEcho(const core::HttpRequest &request, const core::RequestId &id,
                                 const core::Headers &headers, const std::string &body,
                                 std::optional<std::uint64_t> length)
{
    using history::ResponseCheck;
    if (length && body.size() < *length)
        return ResponseCheck::Short;
    const std::string announced(core::findHeader(headers, "X-Request-Id").value_or(""));
    const std::string expected = id.empty() ? announced : id.value;
    const std::optional<EchoBody> echo = parseEcho(body);
    if (!echo)
        return body.empty() || body.back() != '}' ? ResponseCheck::Short : ResponseCheck::Wrong;
    const bool matches = announced == expected && echo->requestId == expected
            && echo->method == request.method && echo->bodyHash == hashHex(request.body);
    return matches ? ResponseCheck::Right : ResponseCheck::Wrong;
}

} // namespace amaranthdale::tools
