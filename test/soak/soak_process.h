// Runs a program under test as a child process of the soak. The destructor kills a child that is
// still running.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace soak {

class SoakProcess {
public:
    SoakProcess() = default;
    ~SoakProcess();
    SoakProcess(const SoakProcess&) = delete;
    SoakProcess& operator=(const SoakProcess&) = delete;
    SoakProcess(SoakProcess&&) = delete;
    SoakProcess& operator=(SoakProcess&&) = delete;

    /// Starts the program and appends its output to a file; throws std::runtime_error on failure.
    void start(const std::vector<std::string>& command, const std::string& output_file);

    /// Sends a signal if the process is running.
    void signal(int number) const;

    /// Returns the wait status if the process has ended since the last call, otherwise nothing.
    std::optional<int> poll_end();

    bool is_running() const;

    /// Id of the running process; 0 if none runs.
    pid_t id() const;

private:
    pid_t m_pid = 0;
};

}  // namespace soak
