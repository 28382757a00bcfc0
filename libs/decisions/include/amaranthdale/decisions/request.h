// A request as the decisions see it, its id and the outcomes that a caller can be told.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/random_source.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthdale::decisions {

/// Who made the id of a request.
enum class IdOrigin {
    Issued,   ///< Given out by `GET /-/request-id`; the caller may send it several times.
    Caller,   ///< Chosen by the caller; says nothing about its age.
    Instance, ///< Made by the entry instance for this very request, so it can't be a resend.
};

/// What is certain about a request at its end.
enum class RunOutcome { Answered, NotRun, Unknown };

/// What a decision has to know of a request.
struct RequestInfo
{
    core::RequestId id;
    IdOrigin origin = IdOrigin::Instance;
    core::ServiceName service;
    core::SlotIndex slot = 0;
    std::uint64_t keyHash = 0;
    core::BrandName brand;
    bool idempotent = false;
    bool anyServer = false; ///< Idempotent and of a service without keys: the slot has no meaning.
    std::uint64_t fingerprint = 0; ///< XXH3 of service, method, target and body.
    core::TimePoint deadline;
};

/// A response that is kept for resends of the same id.
struct StoredResponse
{
    unsigned status = 200;
    core::Headers headers;
    std::string body;
    bool bodyStored = true; ///< False: the body was too large; never pass it on as complete.
};

/// Why a request gets no response of its server.
struct Refusal
{
    /// NotRun with kind Fenced speaks of this attempt only: see `outcomeForCaller`.
    RunOutcome outcome = RunOutcome::NotRun;
    core::ErrorKind kind = core::ErrorKind::Unavailable;
    std::string message;            ///< Names the remedy.
    core::Duration retryAfter = {}; ///< Zero: no better time is known.
};

/// The outcome to tell the caller when the entry instance gives up after `refusal`. A controller
/// without authority over the slot can't know whether an id that may be a resend ran elsewhere, so
/// its NotRun becomes Unknown for non-idempotent requests, except for ids made for this request.
RunOutcome outcomeForCaller(const RequestInfo &request, const Refusal &refusal);

/// An id "amd-<offset>-<random>": the offset that its issuer had replayed, and 128 random bits.
core::RequestId makeIssuedId(core::LogOffset replayed, RandomSource &random);

/// Offset in an issued id. Nothing unless the text has exactly the form that `makeIssuedId` writes:
/// decimal digits without leading zeros, then 32 lower-case hexadecimal digits.
std::optional<core::LogOffset> parseIssuedId(std::string_view id);

} // namespace amaranthdale::decisions
