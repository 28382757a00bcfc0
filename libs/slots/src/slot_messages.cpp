// Encoding and decoding of slot messages.
#include "slot_messages.h"

namespace amaranthdale::slots {

namespace {

using std::chrono::microseconds;

constexpr std::size_t maxTried = 16;
constexpr unsigned slowdownScale = 100; // Slowdowns are encoded in hundredths.

// Bound of each number of a load report; a sender of another version may exceed it.
constexpr std::uint64_t maxReported = 1'000'000;

template<class... Ts>
struct Overloaded : Ts...
{
    using Ts::operator()...;
};

// Deduction guide for clang 14, which doesn't deduce template arguments of aggregates.
template<class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

// Prefix of the data centre in requests for hedges. Names are printable.
constexpr char hedgeMark = '\x01';

class Writer
{
public:
    void number(std::uint64_t value, std::size_t size)
    {
        for (std::size_t left = size; left > 0; --left)
            this->buffer.push_back(static_cast<char>(value >> (8 * (left - 1)) & 0xff));
    }

    void string(std::string_view value)
    {
        this->number(value.size(), 2);
        this->buffer += value;
    }

    void duration(core::Duration value)
    {
        const auto count = std::chrono::duration_cast<microseconds>(value).count();
        this->number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)), 8);
    }

    std::string buffer;
};

class Reader
{
public:
    explicit Reader(std::string_view bytes) : unread(bytes) { }

    std::uint64_t number(std::size_t size)
    {
        std::uint64_t value = 0;
        for (const char byte : this->take(size))
            value = value << 8 | static_cast<unsigned char>(byte);
        return value;
    }

    std::string string() { return std::string(this->take(this->number(2))); }

    core::Duration duration()
    {
        constexpr std::uint64_t maxMicroseconds = 86'400'000'000; // One day.
        return microseconds(std::min(this->number(8), maxMicroseconds));
    }

    bool isAtEnd() const { return this->unread.empty(); }

    bool isComplete() const { return !this->failed && this->unread.empty(); }

private:
    std::string_view take(std::size_t size)
    {
        if (size > this->unread.size()) {
            this->failed = true;
            return {};
        }
        const std::string_view taken = this->unread.substr(0, size);
        this->unread.remove_prefix(size);
        return taken;
    }

    std::string_view unread;
    bool failed = false;
};

void writeContent(Writer &writer, const SlotRequest &request)
{
    writer.string(request.service.value);
    writer.string(request.server ? request.server->value : "");
    writer.string(request.hedge ? hedgeMark + request.poolDataCentre.value
                                : request.poolDataCentre.value);
    writer.number(request.mayWait ? 1 : 0, 1);
    writer.string(request.requesterDataCentre.value);
    writer.string(request.route);
    writer.number(static_cast<std::uint64_t>(request.kind), 1);
    writer.number(request.priority, 2);
    writer.duration(request.targetLatency);
    writer.duration(request.remainingTime);
    const std::size_t tried = std::min(request.tried.size(), maxTried);
    writer.number(tried, 1);
    for (std::size_t index = 0; index < tried; ++index)
        writer.string(request.tried[index].value);
    if (!request.organisation.value.empty())
        writer.string(request.organisation.value);
}

SlotRequest readRequest(Reader &reader)
{
    SlotRequest request;
    request.service = core::ServiceName(reader.string());
    if (const std::string server = reader.string(); !server.empty())
        request.server = core::ServerName(server);
    std::string dataCentre = reader.string();
    request.hedge = dataCentre.starts_with(hedgeMark);
    request.poolDataCentre = core::DataCentreName(dataCentre.substr(request.hedge ? 1 : 0));
    request.mayWait = reader.number(1) != 0;
    request.requesterDataCentre = core::DataCentreName(reader.string());
    request.route = reader.string();
    const auto lastKind = static_cast<std::uint64_t>(catalog::RequestKind::Upload);
    request.kind = static_cast<catalog::RequestKind>(std::min(reader.number(1), lastKind));
    request.priority = static_cast<unsigned>(reader.number(2));
    request.targetLatency = reader.duration();
    request.remainingTime = reader.duration();
    const std::size_t tried = std::min<std::size_t>(reader.number(1), maxTried);
    for (std::size_t index = 0; index < tried; ++index)
        request.tried.emplace_back(reader.string());
    if (!reader.isAtEnd())
        request.organisation = core::OrganisationName(reader.string());
    return request;
}

void writeContent(Writer &writer, const SlotRelease &release)
{
    writer.number(static_cast<std::uint64_t>(release.result), 1);
    writer.duration(release.elapsed);
    writer.number(release.report ? 1 : 0, 1);
    if (!release.report)
        return;
    writer.number(release.report->running, 4);
    writer.number(release.report->waiting, 4);
    writer.number(release.report->slots, 4);
    writer.number(static_cast<std::uint64_t>(release.report->slowdown * slowdownScale), 4);
}

SlotRelease readRelease(Reader &reader)
{
    SlotRelease release;
    const auto lastResult = static_cast<std::uint64_t>(balance::AttemptResult::Cancelled);
    release.result = static_cast<balance::AttemptResult>(std::min(reader.number(1), lastResult));
    release.elapsed = reader.duration();
    if (reader.number(1) == 0)
        return release;
    balance::LoadReport report;
    report.running = static_cast<unsigned>(std::min(reader.number(4), maxReported));
    report.waiting = static_cast<unsigned>(std::min(reader.number(4), maxReported));
    report.slots = static_cast<unsigned>(std::min(reader.number(4), maxReported));
    report.slowdown = static_cast<double>(std::min(reader.number(4), maxReported)) / slowdownScale;
    release.report = report;
    return release;
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &message)
{
    Writer writer;
    writer.number(message.content.index(), 1);
    writer.number(message.ticket, 8);
    std::visit(Overloaded{[&](const SlotRequest &request) { writeContent(writer, request); },
                          [](const SlotQueued &) {},
                          [&](const SlotGranted &granted) { writer.string(granted.server.value); },
                          [&](const SlotRefused &refused) {
                              writer.duration(refused.retryAfter);
                              writer.string(refused.reason);
                          },
                          [&](const SlotRelease &release) { writeContent(writer, release); },
                          [](const SlotPoolUnavailable &) {}, [](const SlotPoolEmpty &) {}},
               message.content);
    return std::move(writer.buffer);
}

std::optional<SlotMessage> decodeSlotMessage(std::string_view bytes)
{
    Reader reader(bytes);
    const std::uint64_t kind = reader.number(1);
    SlotMessage message;
    message.ticket = reader.number(8);
    switch (kind) {
    case 0:
        message.content = readRequest(reader);
        break;
    case 1:
        message.content = SlotQueued{};
        break;
    case 2:
        message.content = SlotGranted{core::ServerName(reader.string())};
        break;
    case 3: {
        SlotRefused refused;
        refused.retryAfter = reader.duration();
        refused.reason = reader.string();
        message.content = std::move(refused);
        break;
    }
    case 4:
        message.content = readRelease(reader);
        break;
    case 5:
        message.content = SlotPoolUnavailable{};
        break;
    case 6:
        message.content = SlotPoolEmpty{};
        break;
    default:
        return std::nullopt;
    }
    if (!reader.isComplete())
        return std::nullopt;
    return message;
}

} // namespace amaranthdale::slots
