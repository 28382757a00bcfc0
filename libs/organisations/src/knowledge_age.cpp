// Confirmation and age of knowledge.
#include "amaranthdale/organisations/knowledge_age.h"

namespace amaranthdale::organisations {

void KnowledgeAge::confirm(core::TimePoint asOf)
{
    core::TimePoint current = this->confirmedAt;
    while (current < asOf && !this->confirmedAt.compare_exchange_weak(current, asOf)) { }
}

std::optional<core::Duration> KnowledgeAge::age(core::TimePoint now) const
{
    const core::TimePoint asOf = this->confirmedAt;
    if (asOf == core::TimePoint::min())
        return std::nullopt;
    return now - asOf;
}

bool KnowledgeAge::isCurrent(core::TimePoint now) const
{
    if (this->maxAge == core::Duration::zero())
        return true;
    const auto knownAge = this->age(now);
    return knownAge && *knownAge <= this->maxAge;
}

} // namespace amaranthdale::organisations
