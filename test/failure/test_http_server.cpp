// The HTTP server stops while callers connect to it. Guards against a stop that never returns.
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "io/http_server.h"

using namespace ebonymount;

namespace {

/// Opens connections until `done`, sends a request on each and leaves the connections open and
/// idle.
void open_connections(const std::string& address, const std::atomic<bool>& done) {
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> open_sockets;
    while (!done) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(address));
            socket.setReceiveTimeout(Poco::Timespan(0, 50000));
            socket.sendBytes(request.data(), static_cast<int>(request.size()));
            std::array<char, 512> response{};
            socket.receiveBytes(response.data(), static_cast<int>(response.size()));
            open_sockets.push_back(socket);
        } catch (const Poco::Exception&) {
            // The server has stopped.
        }
        if (open_sockets.size() > 8) {
            open_sockets.clear();
        }
    }
}

}  // namespace

TEST_CASE("a server stops although callers are connecting and keep their connections open") {
    constexpr int ROUNDS = 80;
    constexpr int CALLERS = 4;
    for (int round = 0; round < ROUNDS; ++round) {
        Result<std::unique_ptr<HttpServer>> started = HttpServer::start(
            {"127.0.0.1:0", 16}, [](const HandlerRequest&) { return make_response(200, "{}"); });
        REQUIRE(has_value(started));
        HttpServer& server = *std::get<std::unique_ptr<HttpServer>>(started);
        std::atomic<bool> done{false};
        std::vector<std::thread> callers;
        callers.reserve(CALLERS);
        for (int caller = 0; caller < CALLERS; ++caller) {
            callers.emplace_back([&server, &done] { open_connections(server.address(), done); });
        }
        std::this_thread::sleep_for(std::chrono::microseconds(200 + round * 35));
        server.stop(round % 2 == 0);
        done = true;
        for (std::thread& caller : callers) {
            caller.join();
        }
    }
}
