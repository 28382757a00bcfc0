// A response body that tells when it has ended.
#pragma once

#include "amaranthdale/core/message.h"

#include <atomic>
#include <functional>
#include <memory>

namespace amaranthdale::daemon {

/// Passes a body on and calls a function once, with true when the body was read to its end, with
/// false when it ended short or was given up.
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
