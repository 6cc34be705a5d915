#include "soak_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace soak {
namespace {

constexpr mode_t FILE_MODE = 0644;

}  // namespace

SoakProcess::~SoakProcess() {
    if (is_running()) {
        signal(SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
    }
}

void SoakProcess::start(const std::vector<std::string>& command, const std::string& output_file) {
    std::vector<char*> arguments;
    for (const std::string& argument : command) {
        // posix_spawn takes char* but does not modify the strings.
        arguments.push_back(const_cast<char*>(argument.c_str()));  // NOLINT
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, FILE_MODE);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited a socket would keep it open after this process has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error =
        posix_spawn(&m_pid, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_pid = 0;
        throw std::runtime_error("cannot start program " + command.front());
    }
}

void SoakProcess::signal(int number) const {
    if (is_running()) {
        kill(m_pid, number);
    }
}

std::optional<int> SoakProcess::poll_end() {
    int status = 0;
    if (!is_running() || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return status;
}

bool SoakProcess::is_running() const {
    return m_pid > 0;
}

pid_t SoakProcess::id() const {
    return m_pid;
}

}  // namespace soak
