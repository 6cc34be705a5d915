// Helpers for tests on loopback sockets that run an event loop until conditions hold.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <fcntl.h>

#include <functional>
#include <string>
#include <vector>

namespace ebonymount {

/// Processes that a test starts must not inherit the socket.
inline void close_on_exec(const Poco::Net::Socket& socket) {
    fcntl(socket.impl()->sockfd(), F_SETFD, FD_CLOEXEC);
}

/// An address on the loopback interface at which nothing listens. A socket of this process stays
/// bound to it, so that the system gives the address to no other socket that asks for a free one;
/// sockets that allow reuse can listen at it.
inline std::string free_address() {
    static std::vector<Poco::Net::ServerSocket> reserved;
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    close_on_exec(socket);
    reserved.push_back(socket);
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
