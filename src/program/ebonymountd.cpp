// The daemon on each entry host. Reads the settings and runs a node until SIGTERM or SIGINT.
//
// Exit codes: 0 after a graceful stop, 1 when the node could not start, 2 for bad arguments or
// settings.
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "io/log.h"
#include "node/node.h"

namespace {

constexpr int EXIT_CANNOT_START = 1;
constexpr int EXIT_BAD_INPUT = 2;

/// Waits for one of the signals. They must be blocked in every thread.
void wait_for_stop(const sigset_t& signals) {
    int signal = 0;
    sigwait(&signals, &signal);
}

int run(const ebonymount::NodeSettings& settings) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const ebonymount::Result<std::unique_ptr<ebonymount::Node>> node =
        ebonymount::Node::start(settings);
    if (!ebonymount::has_value(node)) {
        ebonymount::log_error("node", ebonymount::describe(ebonymount::error_of(node)));
        return EXIT_CANNOT_START;
    }
    wait_for_stop(signals);
    ebonymount::value_of(node)->stop_gracefully();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymountd", "Entry host of the ebonymount query tier");
    options.add_options()("settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit")("help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "ebonymountd: --settings is missing\n";
            return EXIT_BAD_INPUT;
        }
        const ebonymount::Result<ebonymount::NodeSettings> settings =
            ebonymount::read_settings(arguments["settings"].as<std::string>());
        if (!ebonymount::has_value(settings)) {
            std::cerr << "ebonymountd: " << ebonymount::describe(ebonymount::error_of(settings))
                      << "\n";
            return EXIT_BAD_INPUT;
        }
        if (arguments.count("check-settings") > 0) {
            std::cout << "settings are valid\n";
            return 0;
        }
        const ebonymount::NodeSettings& valid = ebonymount::value_of(settings);
        ebonymount::start_logging(valid.log_level, valid.log_format, valid.host);
        return run(valid);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymountd: " << error.what() << "\n";
        return EXIT_BAD_INPUT;
    } catch (const std::exception& error) {
        std::cerr << "ebonymountd: " << error.what() << "\n";
        return EXIT_CANNOT_START;
    }
}
