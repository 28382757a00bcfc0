// Names of enumerators.
#include "names.h"

namespace amaranthdale::report {

std::string_view nameOf(RequestOutcome outcome)
{
    return enumName(outcome);
}

std::string_view nameOf(NotRunReason reason)
{
    return enumName(reason);
}

std::string_view nameOf(LimitReason reason)
{
    return enumName(reason);
}

std::string_view nameOf(OwnershipCause cause)
{
    return enumName(cause);
}

std::string_view nameOf(Spender spender)
{
    return enumName(spender);
}

} // namespace amaranthdale::report
