// Validation errors of a document and the result of a validation.
#pragma once

#include "amaranthdale/core/error.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthdale::records {

/// One validation error of a document.
struct Fault
{
    std::string path;    ///< For example `servers[2].requestSlots`; empty for the document itself.
    std::string message; ///< The error and how to fix it.

    bool operator==(const Fault &) const = default;
};

using Faults = std::vector<Fault>;

/// Converts all faults to one InvalidDocument error, one line per fault.
core::Error toError(const Faults &faults);

/// Either a valid value or a non-empty list of all faults found.
template<class T>
class ValidationResult
{
public:
    ValidationResult(T value) : content(std::move(value)) { }
    ValidationResult(Faults faults) : content(std::move(faults))
    {
        assert(!this->faults().empty());
    }

    explicit operator bool() const { return std::holds_alternative<T>(this->content); }

    /// The value; asserts that validation succeeded.
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
    const T *operator->() const { return &this->value(); }
    const T &operator*() const { return this->value(); }

    /// The faults; asserts that validation failed.
    const Faults &faults() const
    {
        assert(!*this);
        return *std::get_if<Faults>(&this->content);
    }

private:
    std::variant<T, Faults> content;
};

} // namespace amaranthdale::records
