// Messages between the instances that use tokens and those that lend them.
//
// A message is one datagram of at most `maxMessageBytes`. Numbers are big-endian. The first byte
// differs from those of all other datagrams between instances.
#pragma once

#include "amaranthdale/core/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthdale::quotas {

inline constexpr unsigned char tokenAskByte = 0x51;
inline constexpr unsigned char tokenReplyByte = 0x52;
inline constexpr std::size_t maxMessageBytes = 1200; ///< One packet on every link.
inline constexpr std::size_t maxMessageEntries = 64;

/// Hash of an organisation's name, which all instances compute alike.
using OrganisationId = std::uint64_t;
OrganisationId organisationId(const core::OrganisationName &name);

struct AskEntry
{
    OrganisationId organisation = 0;
    std::uint16_t want = 0;
    std::uint16_t returned = 0;   ///< Tokens of this lender that were not and will not be used.
    core::Duration returnedAge{}; ///< Time since they were asked for, at most.

    bool operator==(const AskEntry &) const = default;
};

/// Asks for tokens. With the stamp of a reply of this lender it pledges the sender's share too,
/// until `pledgeTime` after the moment at which the lender made that stamp.
struct TokenAsk
{
    std::uint8_t group = 0;
    std::uint64_t sequence = 0;
    std::uint64_t lender = 0; ///< Of the reply that bore `stamp`; 0: no pledge.
    std::uint64_t stamp = 0;
    bool firstPledge = false; ///< The process has never pledged its share before.
    std::vector<AskEntry> entries;

    bool operator==(const TokenAsk &) const = default;
};

struct ReplyEntry
{
    OrganisationId organisation = 0;
    std::uint16_t lent = 0;
    bool limited = true;       ///< False: the lender knows no limit of this organisation.
    core::Duration comeBack{}; ///< Until a token is expected, if fewer were lent than wanted.

    bool operator==(const ReplyEntry &) const = default;
};

struct TokenReply
{
    std::uint8_t group = 0;
    std::uint64_t sequence = 0; ///< Of the ask.
    std::uint64_t lender = 0;   ///< Drawn at random by the lender's process.
    std::uint64_t stamp = 0;    ///< Meaningful to the lender only.
    core::Duration pledgeTime{};
    std::vector<ReplyEntry> entries;

    bool operator==(const TokenReply &) const = default;
};

using TokenMessage = std::variant<TokenAsk, TokenReply>;

/// Entries beyond `maxMessageEntries` are omitted.
std::string encodeTokenMessage(const TokenMessage &message);

/// Returns nullopt if `bytes` is not a valid message.
std::optional<TokenMessage> decodeTokenMessage(std::string_view bytes);

/// True if a datagram is meant for this library.
bool isTokenMessage(std::string_view bytes);

} // namespace amaranthdale::quotas
