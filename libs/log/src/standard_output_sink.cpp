// log4cplus sink that writes to standard output without blocking.
#include "amaranthdale/log/event_log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <atomic>

namespace amaranthdale::log {

namespace {

// Drops lines whose write would block, and reports their number with the next line that is written.
// log4cplus locks the appender, so calls are serialised.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    explicit NonBlockingAppender(int file) : descriptor(file)
    {
        const int flags = ::fcntl(this->descriptor, F_GETFL);
        if (flags >= 0)
            ::fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    ~NonBlockingAppender() override { this->destructorImpl(); }

    void close() override { this->closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::string text = this->remainder + event.getMessage() + '\n';
        if (this->dropped > 0)
            text += "event=log-lines-dropped count=" + std::to_string(this->dropped) + '\n';
        const ssize_t written = ::write(this->descriptor, text.data(), text.size());
        if (written < 0) {
            ++this->dropped;
            return;
        }
        this->dropped = 0;
        // After a partial write, the remainder is written before the next line, so that lines stay
        // intact.
        this->remainder = text.substr(static_cast<std::size_t>(written));
    }

private:
    const int descriptor;
    std::string remainder; // Of a partial write. Invariant: shorter than the text written last.
    std::size_t dropped = 0;
};

class StandardOutputSink : public LineSink
{
public:
    StandardOutputSink() : logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("amaranthdale")))
    {
        this->logger.removeAllAppenders();
        this->logger.addAppender(
                log4cplus::SharedAppenderPtr(new NonBlockingAppender(STDOUT_FILENO)));
        this->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        this->logger.setAdditivity(false);
    }

    void writeLine(Severity, const std::string &line) override
    {
        this->logger.log(log4cplus::INFO_LOG_LEVEL, LOG4CPLUS_STRING_TO_TSTRING(line));
    }

private:
    log4cplus::Initializer initializer; // Declared first: loggers need the initialised library.
    log4cplus::Logger logger;
};

} // namespace

std::unique_ptr<LineSink> makeStandardOutputSink()
{
    return std::make_unique<StandardOutputSink>();
}

} // namespace amaranthdale::log
