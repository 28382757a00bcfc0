// The caller's verdict on a response of a backend stand-in.
#include "load_tool/response_check.h"

#include "amaranthdale/records/object_reader.h"
#include "common/replies.h"

namespace amaranthdale::tools {

namespace {

constexpr std::size_t longestText = 64 * 1024 * 1024;

struct Echo
{
    std::string requestId;
    std::string bodyHash;
    std::string method;
};

std::optional<Echo> readEcho(const std::string &body)
{
    records::Faults faults;
    Echo echo;
    if (const auto value = records::parseJson(body, faults)) {
        records::ObjectReader reader(*value, "", faults);
        reader.text("requestId", echo.requestId, longestText);
        reader.text("bodyHash", echo.bodyHash, longestText);
        reader.text("method", echo.method, longestText);
    }
    return faults.empty() ? std::optional(echo) : std::nullopt;
}

} // namespace

history::CallOutcome outcomeOf(const core::HttpResponse &response)
{
    const std::string_view text =
            core::findHeader(response.headers, "X-Outcome").value_or("unknown");
    if (text == "answered")
        return history::CallOutcome::Answered;
    return text == "not-run" ? history::CallOutcome::NotRun : history::CallOutcome::Unknown;
}

history::CallOutcome directOutcomeOf(const core::HttpResponse &response)
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
    const std::optional<Echo> echo = readEcho(body);
    if (!echo)
        return body.empty() || body.back() != '}' ? ResponseCheck::Short : ResponseCheck::Wrong;
    const bool right = announced == expected && echo->requestId == expected
            && echo->method == request.method && echo->bodyHash == hashHex(request.body);
    return right ? ResponseCheck::Right : ResponseCheck::Wrong;
}

} // namespace amaranthdale::tools
