// Identification of the caller's organisation, and whether its key is still in force.
#include "active_request.h"

#include "request_outcome.h"

namespace amaranthdale::gateway {

using namespace detail;

namespace {

constexpr unsigned unauthorised = 401;

constexpr std::string_view outdatedReason = "configuration-outdated";

} // namespace

// Returns false if the request has been answered, since its caller has no valid key.
bool ActiveRequest::identifyCaller(const Configuration &configuration)
{
    if (!configuration.routes->organisations())
        return true;
    const std::optional<std::string> key = std::exchange(this->request.credential, std::nullopt);
    if (this->route->isPublic) {
        this->gateway.wireFormat.setOrganisation(this->request, std::nullopt);
        return true;
    }
    // A key that isn't known here may be new, and a known one may have been withdrawn.
    if (!this->gateway.configurationAge.isCurrent(this->gateway.clock.uptime())) {
        this->refuse(outdatedRetryAfter, std::string(outdatedReason));
        return false;
    }
    const auto match = key ? configuration.keys->find(*key) : std::nullopt;
    if (!match) {
        this->fail(unauthorised, key ? "key-unknown" : "key-missing");
        return false;
    }
    this->caller = {match->organisation->name, match->digest, configuration.keys,
                    match->organisation->priority};
    this->gateway.wireFormat.setOrganisation(this->request, match->organisation->name);
    this->gateway.stats.count(
            "organisation_requests_total",
            "organisation=\"" + Statistics::escapeLabelValue(match->organisation->name.value)
                    + '"');
    return true;
}

// The key may have been withdrawn while the request waited, with or without this instance knowing.
bool ActiveRequest::isStillAuthorised() const
{
    if (!this->caller.keys)
        return true;
    if (!this->gateway.configurationAge.isCurrent(this->gateway.clock.uptime()))
        return false;
    const Configuration configuration = this->gateway.currentConfiguration();
    return configuration.keys == this->caller.keys
            || configuration.keys->holds(this->caller.keyDigest, this->caller.organisation);
}

// Ends the request instead of sending it.
void ActiveRequest::endUnauthorised()
{
    this->endAttempt(balance::AttemptResult::Cancelled);
    if (!this->gateway.configurationAge.isCurrent(this->gateway.clock.uptime()))
        return this->refuse(outdatedRetryAfter, std::string(outdatedReason));
    this->fail(this->attempts > 0 ? badGateway : unauthorised, "key-withdrawn");
}

} // namespace amaranthdale::gateway
