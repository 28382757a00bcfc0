// Error kinds and the result type of synchronous code.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace amaranthdale::core {

/// Error categories that are handled differently.
enum class ErrorKind {
    InvalidArgument, ///< The caller of the function or the operator gave a wrong value.
    InvalidDocument, ///< A settings file, service document or record failed its check.
    NotFound,        ///< The named entity does not exist.
    Conflict,        ///< A concurrent change took precedence.
    Unavailable,     ///< The peer can't be reached; the operation had no effect.
    ConnectionLost,  ///< The connection ended before a response; the operation may have taken
                     ///< effect.
    Timeout,         ///< The time limit passed; whether the operation took effect is unknown.
    Overloaded,      ///< Admission control refused the request.
    Fenced,          ///< A higher epoch is in force.
    Protocol,        ///< The peer violated the protocol.
    Internal,        ///< A bug in this program.
};

/// Name of the kind in camelCase, as shown in logs and JSON responses.
std::string_view errorKindName(ErrorKind kind);

/// An error. The message is meant for people and says how to fix the problem.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    bool operator==(const Error &) const = default;
};

/// Result of a synchronous function. LEAF transports the error; see `attempt` in outcome.h.
template<class T>
using Result = boost::leaf::result<T>;

/// Reports an error to the enclosing LEAF handler. `message` says how to fix the problem.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

} // namespace amaranthdale::core
