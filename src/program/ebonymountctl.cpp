// The operators' command line. See docs/OPERATIONS.md for each command.
#include <cxxopts.hpp>
#include <iostream>

#include "admin/ctl.h"

namespace {

void print_commands() {
    std::cout << "Commands:\n";
    for (const ebonymount::CtlCommand& command : ebonymount::ctl_commands()) {
        std::cout << "  " << command.words << " " << command.arguments << "\n      " << command.help
                  << "\n";
    }
    std::cout << "Exit codes: 0 done, 1 refused, 2 bad input, 3 no response from the node.\n";
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("ebonymountctl", "Operates an ebonymount query tier");
    options.add_options()("node", "administration address of any node",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:20002"))(
        "caller", "caller address of any node, for query and submit",
        cxxopts::value<std::string>()->default_value("127.0.0.1:20001"))(
        "json", "print responses as JSON")("help", "show this help")(
        "words", "command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help("COMMAND");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            print_commands();
            return 0;
        }
        ebonymount::CtlOptions ctl;
        ctl.admin_address = arguments["node"].as<std::string>();
        ctl.caller_address = arguments["caller"].as<std::string>();
        ctl.json = arguments.count("json") > 0;
        const std::vector<std::string> words =
            arguments.count("words") > 0 ? arguments["words"].as<std::vector<std::string>>()
                                         : std::vector<std::string>{};
        return static_cast<int>(ebonymount::run_ctl(ctl, words, std::cout, std::cerr));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "ebonymountctl: " << error.what() << "\n";
        return static_cast<int>(ebonymount::CtlExit::bad_input);
    }
}
