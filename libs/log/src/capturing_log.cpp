// Implementation of the log for tests.
#include "amaranthdale/log/capturing_log.h"

#include <algorithm>

namespace amaranthdale::log {

std::optional<std::string> CapturedEvent::find(std::string_view key) const
{
    const auto found = std::find_if(this->fields.begin(), this->fields.end(),
                                    [key](const Field &field) { return field.key == key; });
    if (found == this->fields.end())
        return std::nullopt;
    return found->value;
}

void CapturingLog::write(Severity severity, std::string_view event, std::vector<Field> fields)
{
    std::lock_guard lock(this->mutex);
    this->captured.push_back(CapturedEvent{severity, std::string(event), std::move(fields)});
}

std::vector<CapturedEvent> CapturingLog::events() const
{
    std::lock_guard lock(this->mutex);
    return this->captured;
}

std::size_t CapturingLog::count(std::string_view event) const
{
    std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(
            std::count_if(this->captured.begin(), this->captured.end(),
                          [event](const CapturedEvent &entry) { return entry.event == event; }));
}

} // namespace amaranthdale::log
