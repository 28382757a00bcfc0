// Test support for request handlers: manual clock, recorded events and replies.
#pragma once

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/history/history_file.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::testing {

class RecordingSink : public history::EventSink
{
public:
    void write(const history::Event &event) override { this->events.push_back(event); }

    std::vector<history::Event> events;
};

/// Reply to a request; may still be pending.
class Reply
{
public:
    bool done() const { return this->outcome->has_value(); }

    unsigned status() const { return this->response().status; }

    std::string header(std::string_view name) const
    {
        return std::string(core::findHeader(this->response().headers, name).value_or(""));
    }

    /// Reads the whole body; call it once per reply.
    core::Outcome<std::string> readBody() const
    {
        core::Outcome<std::string> result = core::Error{};
        core::readWholeBody(this->response().body, 64 * 1024 * 1024,
                            [&result](auto text) { result = std::move(text); });
        return result;
    }

    bool bodyArrived() const { return bool(this->readBody()); }

    std::string body() const
    {
        const auto text = this->readBody();
        return text ? *text : "error: " + text.error().message;
    }

private:
    friend struct Recorder;

    const core::HttpResponse &response() const
    {
        REQUIRE(this->done());
        REQUIRE(bool(**this->outcome));
        return (*this->outcome)->value();
    }

    std::shared_ptr<std::optional<core::Outcome<core::HttpResponse>>> outcome =
            std::make_shared<std::optional<core::Outcome<core::HttpResponse>>>();
};

struct Recorder
{
    Reply send(core::RequestHandler &handler, core::HttpRequest request)
    {
        Reply reply;
        handler.handle(std::move(request), [result = reply.outcome](auto outcome) {
            REQUIRE_FALSE(result->has_value());
            result->emplace(std::move(outcome));
        });
        return reply;
    }

    clock::ManualClock clock;
    RecordingSink sink;
};

} // namespace amaranthdale::testing

using amaranthdale::testing::Recorder;
