// Faults of a document, each with its place, and the result of a check.
#pragma once

#include "amaranthdale/core/error.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthdale::records {

/// One fault of a document.
struct Fault
{
    std::string path;    ///< Such as `servers[2].requestSlots`; empty for the document itself.
    std::string message; ///< States what is wrong and the remedy.

    bool operator==(const Fault &) const = default;
};

using Faults = std::vector<Fault>;

/// One error of kind InvalidDocument whose message lists all faults.
core::Error toError(const Faults &faults);

/// Either a value that passed every check or all faults found, never none.
template<class T>
class Checked
{
public:
    Checked(T value) : content(std::move(value)) { }
    Checked(Faults faults) : content(std::move(faults)) { assert(!this->faults().empty()); }

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
    const T *operator->() const { return &this->value(); }
    const T &operator*() const { return this->value(); }

    /// The faults; asserts that there are some.
    const Faults &faults() const
    {
        assert(!*this);
        return *std::get_if<Faults>(&this->content);
    }

private:
    std::variant<T, Faults> content;
};

} // namespace amaranthdale::records
