// Helpers for tests on loopback sockets that run an event loop until conditions hold.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <string>
#include <vector>

namespace ebonymount {

/// An address on the loopback interface at which nothing listens now.
inline std::string free_address() {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

/// An action to run once the condition holds; the action may be empty.
struct TestStep {
    std::function<bool()> condition;
    std::function<void()> action;
};

/// Runs the first step if its condition holds. True if that was the last one.
inline bool advance_steps(std::vector<TestStep>& steps) {
    if (steps.empty() || !steps.front().condition()) {
        return false;
    }
    const TestStep step = steps.front();
    steps.erase(steps.begin());
    if (step.action) {
        step.action();
    }
    return steps.empty();
}

}  // namespace ebonymount
