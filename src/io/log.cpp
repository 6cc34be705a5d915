#include "io/log.h"

#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "io/log_output.h"

namespace ebonymount {
namespace {

namespace logging = boost::log;

struct LogSetup {
    LogLevel level = LogLevel::info;
    LogFormat form = LogFormat::text;
    std::string node;
    LogFlush flush = LogFlush::each_line;
};

LogSetup& setup() {
    static LogSetup instance;
    return instance;
}

/// Maximum rate of log lines of a process; more would be of no use. A request writes about three.
constexpr std::int64_t MAX_LINES_PER_SECOND = 2000;
constexpr std::size_t MAX_BUFFERED_BYTES = 262144;

LogOutput& output() {
    static LogOutput instance(STDOUT_FILENO, MAX_LINES_PER_SECOND, MAX_BUFFERED_BYTES);
    return instance;
}

/// Boost.Log backend that passes formatted lines to the bounded output.
class OutputBackend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::synchronized_feeding> {
public:
    void consume(const logging::record_view& /*record*/, const std::string& line) {
        output().add(line, monotonic_now());
        if (setup().flush == LogFlush::each_line) {
            output().flush();
        }
    }
};

std::string json_line(LogLevel level, const char* part, const std::string& message) {
    const nlohmann::json line = {{"at_ms", wall_clock_ms()},
                                 {"level", log_level_name(level)},
                                 {"node", setup().node},
                                 {"part", part},
                                 {"message", message}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string text_line(LogLevel level, const char* part, const std::string& message) {
    return std::string(part) + ": " + (level >= LogLevel::warning ? log_level_name(level) : "") +
           (level >= LogLevel::warning ? ": " : "") + message;
}

}  // namespace

void start_logging(LogLevel level, LogFormat form, const std::string& node, LogFlush flush) {
    setup() = {level, form, node, flush};
    logging::core::get()->remove_all_sinks();
    if (form == LogFormat::text) {
        logging::add_common_attributes();
        logging::add_console_log(std::cerr, logging::keywords::format = "%TimeStamp% %Message%",
                                 logging::keywords::auto_flush = true);
    } else {
        using Sink = logging::sinks::synchronous_sink<OutputBackend>;
        const boost::shared_ptr<Sink> sink = boost::make_shared<Sink>();
        sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
        logging::core::get()->add_sink(sink);
    }
}

void flush_log() {
    output().flush();
}

std::int64_t dropped_log_lines() {
    return output().dropped();
}

const char* log_level_name(LogLevel level) {
    switch (level) {
        case LogLevel::debug:
            return "debug";
        case LogLevel::info:
            return "info";
        case LogLevel::warning:
            return "warning";
        case LogLevel::error:
            return "error";
    }
    return "info";
}

void write_log_line(LogLevel level, const std::string& line) {
    if (level < setup().level) {
        return;
    }
    static logging::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

Result<LogLevel> log_level_from(const std::string& name) {
    for (const LogLevel level :
         {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error}) {
        if (name == log_level_name(level)) {
            return level;
        }
    }
    return Error{ErrorCode::invalid_input,
                 "unknown log level; allowed is debug, info, warning, error", name};
}

void write_log(LogLevel level, const char* part, const std::string& message) {
    write_log_line(level, setup().form == LogFormat::json ? json_line(level, part, message)
                                                          : text_line(level, part, message));
}

}  // namespace ebonymount
