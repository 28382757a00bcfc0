// Interface through which the gateway asks whether an organisation's quota admits a request.
#pragma once

#include "amaranthdale/core/types.h"

#include <functional>

namespace amaranthdale::quotas {

/// A right to send one request. Times are those of `Clock::uptime`.
struct Token
{
    core::TimePoint sendUntil = core::TimePoint::max(); ///< Not to be sent later than this.
    std::uint64_t lender = 0;                           ///< Who lent it; 0: not limited.
};

/// Outcome of `QuotaGate::tryTake`.
struct QuotaAnswer
{
    enum class Kind {
        Granted,
        Refused,  ///< The quota is used up.
        Undecided ///< The tokens of this instance are used up, and the lender is being asked.
    };

    Kind kind = Kind::Granted;
    Token token;               ///< If granted.
    core::Duration comeBack{}; ///< If not granted: time until a token is expected.
};

/// Decides by the quotas of organisations over all instances. Thread-safe.
class QuotaGate
{
public:
    virtual ~QuotaGate() = default;

    /// Takes a token of `organisation` at `now` (by `Clock::uptime`). Answers at once.
    virtual QuotaAnswer tryTake(const core::OrganisationName &organisation,
                                core::TimePoint now) = 0;

    /// Calls `proceed` once when the lender has responded, or after a short time without response.
    /// To be called after an undecided answer; `tryTake` is then called again. Never calls
    /// `proceed` from within this call.
    virtual void whenDecided(const core::OrganisationName &organisation,
                             std::function<void()> proceed) = 0;

    /// Returns the token of a request that was not sent.
    virtual void giveBack(const core::OrganisationName &organisation, const Token &token,
                          core::TimePoint now) = 0;
};

} // namespace amaranthdale::quotas
