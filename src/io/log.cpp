#include "io/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace ebonymount {
namespace {

namespace logging = boost::log;

struct LogSetup {
    LogLevel level = LogLevel::info;
    LogForm form = LogForm::text;
    std::string node;
};

LogSetup& setup() {
    static LogSetup the_setup;
    return the_setup;
}

const char* name_of(LogLevel level) {
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

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string json_line(LogLevel level, const char* part, const std::string& sentence) {
    const nlohmann::json line = {{"at_ms", wall_clock_ms()},
                                 {"level", name_of(level)},
                                 {"node", setup().node},
                                 {"part", part},
                                 {"message", sentence}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string text_line(LogLevel level, const char* part, const std::string& sentence) {
    return std::string(part) + ": " + (level >= LogLevel::warning ? name_of(level) : "") +
           (level >= LogLevel::warning ? ": " : "") + sentence;
}

}  // namespace

void start_logging(LogLevel level, LogForm form, const std::string& node) {
    setup() = {level, form, node};
    logging::core::get()->remove_all_sinks();
    if (form == LogForm::text) {
        logging::add_common_attributes();
        logging::add_console_log(std::cerr, logging::keywords::format = "%TimeStamp% %Message%",
                                 logging::keywords::auto_flush = true);
    } else {
        logging::add_console_log(std::cerr, logging::keywords::format = "%Message%",
                                 logging::keywords::auto_flush = true);
    }
}

Result<LogLevel> log_level_from(const std::string& name) {
    for (const LogLevel level :
         {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error}) {
        if (name == name_of(level)) {
            return level;
        }
    }
    return Error{ErrorCode::invalid_input,
                 "unknown log level; allowed is debug, info, warning, error", name};
}

void write_log(LogLevel level, const char* part, const std::string& sentence) {
    if (level < setup().level) {
        return;
    }
    static logging::sources::logger_mt logger;
    const std::string line = setup().form == LogForm::json ? json_line(level, part, sentence)
                                                           : text_line(level, part, sentence);
    BOOST_LOG(logger) << line;
}

}  // namespace ebonymount
