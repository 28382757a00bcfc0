// Text form of members, as stores and other instances keep it.
#pragma once

#include "amaranthdale/membership/members.h"

#include <string>
#include <string_view>

namespace amaranthdale::membership {

/// "NAME|DATA CENTRE|ADDRESS:PORT|CORES".
std::string formatMember(const Member &member);

/// Fails with InvalidArgument on a text that `formatMember` can't have written.
core::Outcome<Member> parseMember(std::string_view text);

/// One member a line.
std::string formatMembers(const std::vector<Member> &members);

/// Fails with InvalidArgument when a line is no member.
core::Outcome<std::vector<Member>> parseMembers(std::string_view text);

} // namespace amaranthdale::membership
