// JSON encoding of load queries and grants.
#include "server_protocol.h"

#include <boost/json.hpp>

namespace amaranthdale::daemon {

namespace {

namespace json = boost::json;
using core::ErrorKind;
using core::fail;
using core::Result;
using decisions::ServerReply;

// Encodes consecutive slots as [first, last] pairs.
json::array slotRanges(const std::vector<core::SlotIndex> &slots)
{
    json::array ranges;
    for (std::size_t index = 0; index < slots.size();) {
        std::size_t last = index;
        while (last + 1 < slots.size() && slots[last + 1] == slots[last] + 1)
            ++last;
        ranges.push_back(json::array{slots[index], slots[last]});
        index = last + 1;
    }
    return ranges;
}

Result<std::uint64_t> unsignedField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (!value || !value->is_number())
        return fail(ErrorKind::Protocol,
                    "reply of the backend server has no numeric field " + std::string(name));
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error)
        return fail(ErrorKind::Protocol,
                    "field " + std::string(name) + " is not an unsigned integer");
    return number;
}

} // namespace

core::HttpRequest loadQuery()
{
    core::HttpRequest request;
    request.method = "GET";
    request.target = "/-/load";
    return request;
}

core::HttpRequest grantRequest(const decisions::SendGrant &grant)
{
    const auto expiry = std::chrono::duration_cast<std::chrono::milliseconds>(grant.expiresAt);
    json::array hotKeys;
    for (const std::string &key : grant.hotKeys)
        hotKeys.push_back(json::value(key));
    const json::value body = {
            {"service", grant.service.value},
            {"incarnation", grant.incarnation.value},
            {"epoch", grant.fence.epoch.value},
            {"sequence", grant.fence.sequence},
            {"expiresAtMs", expiry.count()},
            {"slots", slotRanges(grant.slots)},
            {"hotKeys", hotKeys},
    };
    core::HttpRequest request;
    request.method = "PUT";
    request.target = "/-/grant";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(body);
    return request;
}

Result<ServerStatus> parseServerStatus(std::string_view body)
{
    json::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
        return fail(ErrorKind::Protocol, "reply of the backend server is not a JSON object");
    const json::object &object = document.get_object();
    BOOST_LEAF_AUTO(incarnation, unsignedField(object, "incarnation"));
    BOOST_LEAF_AUTO(epoch, unsignedField(object, "epoch"));
    BOOST_LEAF_AUTO(nowMs, unsignedField(object, "nowMs"));
    BOOST_LEAF_AUTO(inFlight, unsignedField(object, "inFlight"));
    ServerStatus status;
    status.incarnation = core::Incarnation(incarnation);
    status.epoch = core::Epoch(epoch);
    status.now = std::chrono::milliseconds(nowMs);
    status.inFlight = static_cast<unsigned>(inFlight);
    if (const json::value *load = object.if_contains("load"); load && load->is_number())
        status.load = load->to_number<double>();
    return status;
}

ServerReply classifyReply(ServerReply reply, unsigned httpStatus, const ServerStatus &status)
{
    const core::Incarnation expectedIncarnation = reply.incarnation;
    reply.incarnation = status.incarnation;
    reply.epoch = status.epoch;
    reply.serverNow = status.now;
    const bool isGrant = reply.fence.epoch != core::Epoch();
    if (httpStatus == 200)
        reply.kind = ServerReply::Kind::Accepted;
    else if (isGrant && expectedIncarnation != status.incarnation)
        reply.kind = ServerReply::Kind::IncarnationMismatch;
    else if (status.epoch > reply.fence.epoch)
        reply.kind = ServerReply::Kind::HigherEpoch;
    else
        reply.kind = ServerReply::Kind::NoAnswer;
    return reply;
}

} // namespace amaranthdale::daemon
