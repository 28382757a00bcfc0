// History file access.
#include "amaranthdale/history/history_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace amaranthdale::history {

namespace {

constexpr mode_t fileMode = 0644;

class FileSink : public EventSink
{
public:
    explicit FileSink(int openFile) : file(openFile) { }
    ~FileSink() override { ::close(this->file); }
    FileSink(const FileSink &) = delete;
    FileSink &operator=(const FileSink &) = delete;

    void write(const Event &event) override
    {
        const std::string line = encodeEvent(event) + "\n";
        const ssize_t written = ::write(this->file, line.data(), line.size());
        // A lost event could hide a breach, so report that the history is incomplete.
        if (written != static_cast<ssize_t>(line.size()))
            std::cerr << "event=historyWriteFailed error=\"" << std::strerror(errno) << "\"\n";
    }

private:
    const int file;
};

class NullSink : public EventSink
{
public:
    void write(const Event &) override { }
};

} // namespace

core::Result<std::unique_ptr<EventSink>> openHistoryFile(const std::string &path)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (file < 0)
        return core::fail(core::ErrorKind::Unavailable,
                          "can't write " + path + ": " + std::strerror(errno)
                                  + "; choose a file in an existing directory");
    return std::unique_ptr<EventSink>(std::make_unique<FileSink>(file));
}

std::unique_ptr<EventSink> makeNullSink()
{
    return std::make_unique<NullSink>();
}

core::Result<std::vector<Event>> readHistoryFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return core::fail(core::ErrorKind::NotFound, "can't read " + path + "; check the path");
    std::vector<Event> events;
    std::string line;
    for (std::size_t lineNumber = 1; std::getline(file, line); ++lineNumber) {
        if (file.eof())
            break;
        auto event = decodeEvent(line);
        if (!event)
            return core::fail(core::ErrorKind::InvalidDocument,
                              path + " line " + std::to_string(lineNumber) + ": "
                                      + toError(event.faults()).message);
        events.push_back(std::move(event.value()));
    }
    return events;
}

} // namespace amaranthdale::history
