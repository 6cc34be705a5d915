// The HTTP server stops while callers connect to it, and the addresses that servers listen at.
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "io/http_server.h"
#include "loopback.h"

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

// Guards against a stop that never returns.
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

// Guards against nodes of a test that listen at the same address, because the system gave it to
// both.
TEST_CASE("an address is given once, and a server can listen at it") {
    constexpr std::size_t ADDRESSES = 500;
    std::set<std::string> addresses;
    for (std::size_t i = 0; i < ADDRESSES; ++i) {
        addresses.insert(free_address());
    }
    CHECK(addresses.size() == ADDRESSES);
    const Result<std::unique_ptr<HttpServer>> server = HttpServer::start(
        {*addresses.begin(), 1}, [](const HandlerRequest&) { return make_response(200, "{}"); });
    CHECK(has_value(server));
}

// Guards against two processes that share an address, so that the system deals the connections out
// between them.
TEST_CASE("a second server at an address is an error") {
    const HttpHandler handler = [](const HandlerRequest&) {
        return make_response(200, "{}");
    };
    const Result<std::unique_ptr<HttpServer>> first =
        HttpServer::start({"127.0.0.1:0", 1}, handler);
    REQUIRE(has_value(first));
    const Result<std::unique_ptr<HttpServer>> second =
        HttpServer::start({value_of(first)->address(), 1}, handler);
    REQUIRE_FALSE(has_value(second));
    CHECK(error_of(second).code == ErrorCode::conflict);
}
