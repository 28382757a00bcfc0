// Text format of members, used in the store and in messages between instances.
#pragma once

#include "amaranthdale/membership/members.h"

#include <string>
#include <string_view>

namespace amaranthdale::membership {

/// Formats a member as "NAME|DATA CENTRE|ADDRESS:PORT|CORES".
std::string formatMember(const Member &member);

/// Parses a member. Fails with InvalidArgument if the text is not in the format of `formatMember`.
core::Outcome<Member> parseMember(std::string_view text);

/// Formats one member per line.
std::string formatMembers(const std::vector<Member> &members);

/// Parses one member per line. Fails with InvalidArgument if any line is invalid.
core::Outcome<std::vector<Member>> parseMembers(std::string_view text);

} // namespace amaranthdale::membership
