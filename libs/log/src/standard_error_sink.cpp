// log4cplus sink that writes to standard error.
#include "amaranthdale/log/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace amaranthdale::log {

namespace {

log4cplus::LogLevel toLogLevel(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

class StandardErrorSink : public LineSink
{
public:
    StandardErrorSink() : logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("amaranthdale")))
    {
        log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
        this->logger.removeAllAppenders();
        this->logger.addAppender(appender);
        // The event log has already filtered by severity.
        this->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        this->logger.setAdditivity(false);
    }

    void writeLine(Severity severity, const std::string &line) override
    {
        this->logger.log(toLogLevel(severity), LOG4CPLUS_STRING_TO_TSTRING(line));
    }

private:
    log4cplus::Initializer initializer; // Declared first: loggers need the initialised library.
    log4cplus::Logger logger;
};

} // namespace

std::unique_ptr<LineSink> makeStandardErrorSink()
{
    return std::make_unique<StandardErrorSink>();
}

} // namespace amaranthdale::log
