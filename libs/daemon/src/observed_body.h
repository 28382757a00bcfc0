// Response body wrapper that reports its end.
#pragma once

#include "amaranthdale/core/message.h"

#include <atomic>
#include <functional>
#include <memory>

namespace amaranthdale::daemon {

/// Forwards a body and calls a function exactly once: with true when the body was read to its end,
/// with false when it ended early or was abandoned.
class ObservedBody : public core::BodyReader
{
public:
    using EndHandler = std::function<void(bool whole)>;

    ObservedBody(std::shared_ptr<core::BodyReader> bodySource, EndHandler whenEnded);
    ~ObservedBody() override;

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override;

private:
    struct End;

    std::shared_ptr<core::BodyReader> source;
    std::shared_ptr<End> end;
};

} // namespace amaranthdale::daemon
