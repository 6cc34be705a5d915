// The operators' command line: translates commands into requests to a node's administration or
// caller API and prints the responses.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace ebonymount {

/// Exit codes of the command line.
enum class CtlExit : int {
    ok = 0,           ///< The command succeeded.
    refused = 1,      ///< The node refused the command and gave the reason.
    bad_input = 2,    ///< The command, its arguments or a file are invalid; no change was sent.
    unreachable = 3,  ///< No node responded.
};

/// Addresses of the node that receives the requests, and the output format.
struct CtlOptions {
    std::string admin_address = "127.0.0.1:20002";
    std::string caller_address = "127.0.0.1:20001";
    /// Prints the JSON of responses as received.
    bool json = false;
};

/// A command as shown in the help text: its words, placeholders of its arguments, description.
struct CtlCommand {
    std::string words;
    std::string arguments;
    std::string help;
};

/// All commands, in the order of the help text.
const std::vector<CtlCommand>& ctl_commands();

/// Runs one command. `words` holds the command's words followed by its arguments.
CtlExit run_ctl(const CtlOptions& options, const std::vector<std::string>& words,
                std::ostream& output, std::ostream& errors);

}  // namespace ebonymount
