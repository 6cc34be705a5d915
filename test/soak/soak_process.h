// One real program under test as a child process of the soak: started, signalled and awaited by
// its id. A child that is still there when its owner goes is killed.
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

    /// Starts the program with its output appended to a file; throws std::runtime_error.
    void start(const std::vector<std::string>& command, const std::string& output_file);

    /// Sends a signal if the process runs.
    void signal(int number) const;

    /// The wait status once the process has ended, each end once.
    std::optional<int> poll_end();

    bool is_running() const;

private:
    pid_t m_pid = 0;
};

}  // namespace soak
