// The operators' command line: turns words into calls of the administration API and prints what
// came back.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace ebonymount {

/// Exit codes of the command line.
enum class CtlExit : int {
    ok = 0,           ///< The command was carried out.
    refused = 1,      ///< The node refused it and said why.
    bad_input = 2,    ///< The words or a file are wrong; nothing was sent.
    unreachable = 3,  ///< No node answered.
};

/// Where and how to send commands.
struct CtlOptions {
    std::string admin_address = "127.0.0.1:20002";
    std::string caller_address = "127.0.0.1:20001";
    bool json = false;
};

/// One command that the command line knows.
struct CtlCommand {
    std::string words;
    std::string arguments;
    std::string help;
};

/// All commands, in the order in which help shows them.
const std::vector<CtlCommand>& ctl_commands();

/// Runs one command. `words` begins with the command's words.
CtlExit run_ctl(const CtlOptions& options, const std::vector<std::string>& words,
                std::ostream& output, std::ostream& errors);

}  // namespace ebonymount
