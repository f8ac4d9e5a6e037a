#include "observe/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>

namespace bronzechute {

namespace {

// About 1 MB at 300 bytes per line.
constexpr int logQueueCapacityLines = 4096;

std::atomic<bool> loggingConfigured {false};
std::string nodeName;

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("bronzechute");
    return instance;
}

log4cxx::LevelPtr toLog4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::trace:
        return log4cxx::Level::getTrace();
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto secondFraction =
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1000000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06lldZ", static_cast<long long>(secondFraction));
    return text.data();
}

} // namespace

void configureLogging(const std::string &level, const std::string &file, const std::string &node)
{
    nodeName = node;
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%m%n"));
    log4cxx::AppenderPtr appender;
    if (file.empty()) {
        appender.reset(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemOut()));
    } else {
        appender.reset(new log4cxx::FileAppender(layout, file, true));
    }
    // A background thread writes the lines, and lines that do not fit into its queue are dropped. Otherwise a log
    // reader that stops reading would block the process. log4cxx logs a summary of the dropped lines.
    const log4cxx::AsyncAppenderPtr queue(new log4cxx::AsyncAppender());
    queue->setBlocking(false);
    queue->setBufferSize(logQueueCapacityLines);
    queue->addAppender(appender);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(queue);
    setLogLevel(level);
    loggingConfigured = true;
}

void setLogLevel(const std::string &level)
{
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

bool logEnabled(log_level level)
{
    return loggingConfigured && logger()->isEnabledFor(toLog4cxxLevel(level));
}

void logLine(log_level level, std::string_view component, std::string_view message, const nlohmann::json &fields)
{
    if (!logEnabled(level)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["level"] = toLog4cxxLevel(level)->toString();
    line["component"] = component;
    line["node"] = nodeName;
    line["message"] = message;
    for (const auto &[key, value] : fields.items()) {
        line[key] = value;
    }
    logger()->log(toLog4cxxLevel(level), line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace bronzechute
