// Error kinds and the result type of synchronous code.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace amaranthdale::core {

/// What went wrong, as far as a program has to tell the cases apart.
enum class ErrorKind {
    InvalidArgument, ///< The caller of the function or the operator gave a wrong value.
    InvalidDocument, ///< A settings file, service document or record failed its check.
    NotFound,        ///< The named thing does not exist.
    Conflict,        ///< A concurrent change won.
    Unavailable,     ///< The other side can't be reached now; nothing was done.
    ConnectionLost,  ///< The connection ended before a response; the operation may have taken
                     ///< effect.
    Timeout,         ///< The time limit passed; whether the operation took effect is open.
    Overloaded,      ///< Admission control refused the work.
    Fenced,          ///< A higher epoch is in force.
    Protocol,        ///< The other side sent something that its protocol doesn't allow.
    Internal,        ///< A fault of this program.
};

/// Name of the kind in camelCase, as logs and JSON answers show it.
std::string_view errorKindName(ErrorKind kind);

/// An error with a message for people that names the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    bool operator==(const Error &) const = default;
};

/// Result of a synchronous function. The error travels by LEAF; see `attempt` in outcome.h.
template<class T>
using Result = boost::leaf::result<T>;

/// Reports an error to the enclosing LEAF handler. `message` names the remedy.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

} // namespace amaranthdale::core
