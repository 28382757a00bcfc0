// Requests to peers, and merging of their report parts.
#include "report_collector.h"

#include <memory>
#include <mutex>
#include <optional>

namespace amaranthdale::daemon {

namespace {

constexpr core::Duration partTimeout = std::chrono::seconds(1);
constexpr std::size_t maxPartBytes = 8 * 1024 * 1024;

class ReportCollector
{
public:
    ReportCollector(std::size_t partCount, std::function<void(const report::Report &)> whenDone)
        : outstanding(partCount), handler(std::move(whenDone))
    { }

    void add(std::optional<report::Report> part)
    {
        {
            std::lock_guard lock(this->mutex);
            if (part)
                report::mergeInto(this->merged, std::move(*part));
            if (--this->outstanding > 0)
                return;
        }
        this->handler(this->merged);
    }

    void addText(const core::Outcome<std::string> &text)
    {
        if (!text)
            return this->add(std::nullopt);
        auto part = core::attempt([&] { return report::decodeReport(*text); });
        if (!part)
            return this->add(std::nullopt);
        this->add(std::move(*part));
    }

private:
    std::mutex mutex; // Leaf lock: no other lock is taken while it is held.
    std::size_t outstanding;
    report::Report merged;
    std::function<void(const report::Report &)> handler;
};

void fetchPart(core::HttpSender &peers, const core::Endpoint &endpoint,
               const std::shared_ptr<ReportCollector> &collector)
{
    core::HttpRequest request;
    request.method = "GET";
    request.target = "/report";
    peers.send(endpoint, std::move(request), partTimeout,
               [collector](core::Outcome<core::HttpResponse> response) {
                   if (!response)
                       return collector->add(std::nullopt);
                   core::readWholeBody(response->body, maxPartBytes,
                                       [collector](core::Outcome<std::string> text) {
                                           collector->addText(text);
                                       });
               });
}

} // namespace

void collectReport(core::HttpSender &peers, const std::vector<core::Endpoint> &endpoints,
                   report::ReportPart own, std::function<void(const report::Report &)> handler)
{
    auto collector = std::make_shared<ReportCollector>(endpoints.size() + 1, std::move(handler));
    for (const core::Endpoint &endpoint : endpoints)
        fetchPart(peers, endpoint, collector);
    collector->add(report::Report{{std::move(own)}});
}

} // namespace amaranthdale::daemon
