// Formatting and parsing of members.
#include "amaranthdale/membership/member_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace amaranthdale::membership {

namespace {

constexpr char separator = '|';
constexpr std::size_t fieldCount = 4;
constexpr double maxCores = 10000;

core::Error malformed(std::string_view text)
{
    return core::Error{core::ErrorKind::InvalidArgument,
                       "\"" + std::string(text)
                               + "\" is not a valid member; run the same version "
                                 "on all instances"};
}

// A control character, such as a line feed, would split the member in a list of members.
bool isPrintable(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
}

} // namespace

std::string formatMember(const Member &member)
{
    char cores[32];
    std::snprintf(cores, sizeof(cores), "%.3f", member.cores);
    return member.name.value + separator + member.dataCentre.value + separator
            + core::formatEndpoint(member.peer) + separator + cores;
}

core::Outcome<Member> parseMember(std::string_view text)
{
    std::array<std::string_view, fieldCount> fields;
    std::string_view rest = text;
    for (std::size_t index = 0; index < fieldCount; ++index) {
        const std::size_t end = rest.find(separator);
        if ((end == std::string_view::npos) != (index + 1 == fieldCount))
            return malformed(text);
        fields[index] = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    Member member;
    member.name = core::InstanceName(std::string(fields[0]));
    member.dataCentre = core::DataCentreName(std::string(fields[1]));
    const auto peer = core::attempt([&] { return core::parseEndpoint(fields[2]); });
    const char *end = fields[3].data() + fields[3].size();
    const auto parsed = std::from_chars(fields[3].data(), end, member.cores);
    if (!isPrintable(text) || member.name.empty() || !peer || peer->port == 0
        || parsed.ec != std::errc() || parsed.ptr != end || !(member.cores > 0)
        || member.cores > maxCores)
        return malformed(text);
    member.peer = *peer;
    return member;
}

std::string formatMembers(const std::vector<Member> &members)
{
    std::string text;
    for (const Member &member : members)
        text += formatMember(member) + '\n';
    return text;
}

core::Outcome<std::vector<Member>> parseMembers(std::string_view text)
{
    std::vector<Member> members;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        auto member = parseMember(text.substr(0, end));
        if (!member)
            return member.error();
        members.push_back(std::move(*member));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return members;
}

} // namespace amaranthdale::membership
