// Names of the error kinds.
#include "amaranthdale/core/error.h"

namespace amaranthdale::core {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalidArgument";
    case ErrorKind::InvalidDocument:
        return "invalidDocument";
    case ErrorKind::NotFound:
        return "notFound";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::ConnectionLost:
        return "connectionLost";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Fenced:
        return "fenced";
    case ErrorKind::Protocol:
        return "protocol";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace amaranthdale::core
