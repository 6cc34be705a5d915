// Runs a stand-in until SIGTERM or SIGINT.
#pragma once

#include <csignal>

namespace standin {

/// Blocks SIGTERM and SIGINT. Call it before the first thread starts.
inline sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Waits for one of the signals.
inline void wait_for_stop(const sigset_t& signals) {
    int signal = 0;
    sigwait(&signals, &signal);
}

}  // namespace standin
