// A value or an error that can be passed between threads and to callbacks, where LEAF's error
// contexts are not available.
#pragma once

#include "amaranthdale/core/error.h"

#include <boost/leaf/handle_errors.hpp>

#include <cassert>
#include <type_traits>
#include <utility>
#include <variant>

namespace amaranthdale::core {

/// Either a `T` or an `Error`.
template<class T>
class Outcome
{
public:
    Outcome(T value) : content(std::move(value)) { }
    Outcome(Error error) : content(std::move(error)) { }

    explicit operator bool() const { return std::holds_alternative<T>(this->content); }

    /// The value; asserts that there is one.
    T &value()
    {
        assert(*this);
        return *std::get_if<T>(&this->content);
    }
    const T &value() const
    {
        assert(*this);
        return *std::get_if<T>(&this->content);
    }
    T *operator->() { return &this->value(); }
    const T *operator->() const { return &this->value(); }
    T &operator*() { return this->value(); }
    const T &operator*() const { return this->value(); }

    /// The error; asserts that there is one.
    const Error &error() const
    {
        assert(!*this);
        return *std::get_if<Error>(&this->content);
    }

private:
    std::variant<T, Error> content;
};

/// Value type for operations that return no data, only success or failure.
struct Success
{
    bool operator==(const Success &) const = default;
};

namespace detail {

template<class T>
struct ValueOfResult;

template<class T>
struct ValueOfResult<Result<T>>
{
    using Type = T;
};

template<class Function>
using AttemptedValue = typename ValueOfResult<std::invoke_result_t<Function &>>::Type;

} // namespace detail

/// Calls `function`, which returns a `Result<T>`, and converts its value or LEAF error into an
/// `Outcome<T>`.
template<class Function>
Outcome<detail::AttemptedValue<Function>> attempt(Function &&function)
{
    using Value = detail::AttemptedValue<Function>;
    return boost::leaf::try_handle_all(
            [&]() -> Result<Outcome<Value>> {
                auto result = function();
                if (!result)
                    return result.error();
                return Outcome<Value>(std::move(result.value()));
            },
            [](const Error &error) { return Outcome<Value>(error); },
            [] {
                return Outcome<Value>(
                        Error{ErrorKind::Internal, "error without details; report it as a bug"});
            });
}

} // namespace amaranthdale::core
