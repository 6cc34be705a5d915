// The daemon on each entry host of the users' platform. Reads the platform's settings and serves
// callers until SIGTERM or SIGINT. SIGHUP reloads the settings.
//
// Exit codes: 0 after a graceful stop, 1 when the front could not start, 2 for bad arguments or
// settings.
#include <malloc.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "front/startup.h"
#include "io/log.h"
#include "platform/settings.h"

namespace {

constexpr int EXIT_CANNOT_START = 1;
constexpr int EXIT_BAD_INPUT = 2;

/// Flags that the signal handlers set and the front polls.
ebonymount::FrontSignals& signals() {
    static ebonymount::FrontSignals front_signals;
    return front_signals;
}

void on_stop(int /*signal*/) {
    signals().stop = true;
}

void on_reload(int /*signal*/) {
    signals().reload = true;
}

/// A signal that comes before its handler is installed ends the process.
void install_signal_handlers() {
    // Constructs the flags before a signal handler can use them.
    signals();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, on_stop);
    std::signal(SIGINT, on_stop);
    std::signal(SIGHUP, on_reload);
}

/// Returns the memory of large buffers to the system as soon as they are freed. By default the
/// allocator keeps buffers of a size that has been freed once, so that a crowd of callers would
/// leave the process at its peak.
void return_large_buffers() {
    constexpr int LARGE_BUFFER_BYTES = 131072;
    mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
    mallopt(M_TRIM_THRESHOLD, 4 * LARGE_BUFFER_BYTES);
}

/// Exit code for a start that failed; none is owed if a stop was requested meanwhile.
int start_failed(int code) {
    return signals().stop ? 0 : code;
}

int run(const std::string& path, std::int64_t metrics_port) {
    const ebonymount::Result<ebonymount::platform::ParsedSettings> parsed =
        ebonymount::wait_for_front_settings(path, signals());
    if (!ebonymount::has_value(parsed)) {
        std::cerr << "ebonymount_front: " << describe(error_of(parsed)) << "\n";
        return start_failed(EXIT_BAD_INPUT);
    }
    const ebonymount::platform::Settings& settings = value_of(parsed).settings;
    ebonymount::start_logging(ebonymount::LogLevel::info, ebonymount::LogFormat::json,
                              settings.node, ebonymount::LogFlush::manual);
    for (const std::string& warning : value_of(parsed).warnings) {
        ebonymount::log_warning("front", warning);
    }
    const ebonymount::Result<std::unique_ptr<ebonymount::Front>> front =
        ebonymount::start_when_address_is_free(settings, path, metrics_port, signals());
    if (!ebonymount::has_value(front)) {
        ebonymount::log_error("front", describe(error_of(front)));
        ebonymount::flush_log();
        return start_failed(EXIT_CANNOT_START);
    }
    value_of(front)->run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    return_large_buffers();
    install_signal_handlers();
    cxxopts::Options options("ebonymount_front",
                             "Entry host of the ebonymount query tier on the users' platform");
    options.add_options()("settings", "settings file; default: the path in EBONYMOUNT_BOOT",
                          cxxopts::value<std::string>())(
        "metrics-port", "port of /metrics", cxxopts::value<std::int64_t>()->default_value("9464"))(
        "check-settings", "check the settings file and exit")("help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const std::string path = arguments.count("settings") > 0
                                     ? arguments["settings"].as<std::string>()
                                     : ebonymount::platform::settings_path();
        if (path.empty()) {
            std::cerr << "ebonymount_front: no settings file given\n";
            return EXIT_BAD_INPUT;
        }
        if (arguments.count("check-settings") > 0) {
            const ebonymount::Result<ebonymount::platform::ParsedSettings> parsed =
                ebonymount::read_front_settings(path);
            if (!has_value(parsed)) {
                std::cerr << describe(error_of(parsed)) << "\n";
                return EXIT_BAD_INPUT;
            }
            for (const std::string& warning : value_of(parsed).warnings) {
                std::cerr << warning << "\n";
            }
            std::cerr << path << ": ok\n";
            return 0;
        }
        return run(path, arguments["metrics-port"].as<std::int64_t>());
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymount_front: " << error.what() << "\n";
        return EXIT_BAD_INPUT;
    } catch (const std::exception& error) {
        std::cerr << "ebonymount_front: " << error.what() << "\n";
        return EXIT_CANNOT_START;
    }
}
