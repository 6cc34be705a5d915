// Starts of the front's process while its settings file is written, while another socket holds its
// address, and while signals arrive.
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include "base/time.h"
#include "loopback.h"
#include "soak_process.h"

namespace ebonymount {
namespace {

using Poco::Net::SocketAddress;

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(20000);
constexpr Duration CHECK_INTERVAL = from_ms(20);
/// Time in which a process that does not wait for its settings has read them.
constexpr Duration READING_TIME = from_ms(300);

/// One front process with a directory of its own; there is no store, so it never gets ready.
struct FrontProcess {
    std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("front-start-" + std::to_string(getpid()));
    std::string caller_address = free_address();
    std::string settings_file = directory / "front.conf";
    std::string output_file = directory / "front.log";
    soak::SoakProcess process;

    FrontProcess() {
        std::filesystem::remove_all(directory);
        std::filesystem::create_directories(directory);
    }

    void write_settings() const {
        std::ofstream(settings_file)
            << "node=n\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\nbind_addresses.front="
            << caller_address << "\nbind_addresses.ready=" << free_address()
            << "\nbind_addresses.control=" << free_address()
            << "\nplatform.address=" << free_address() << "\nseeds=\n";
    }

    void start() {
        process.start({FRONT_PROGRAM, "--settings", settings_file, "--metrics-port", "0"},
                      output_file);
    }

    bool has_logged(const std::string& text) const {
        std::ostringstream log;
        log << std::ifstream(output_file).rdbuf();
        return log.str().find(text) != std::string::npos;
    }

    bool accepts() const {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(SocketAddress(caller_address));
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
    }
};

/// Waits until the condition holds; false if it never does.
bool wait_until(const std::function<bool()>& condition) {
    const Time give_up_at = monotonic_now() + HANG_LIMIT;
    while (!condition()) {
        if (monotonic_now() > give_up_at) {
            return false;
        }
        std::this_thread::sleep_for(CHECK_INTERVAL);
    }
    return true;
}

/// An established connection whose own end has the address.
class AddressHolder {
public:
    AddressHolder() : m_server(SocketAddress("127.0.0.1", 0)) {
        // An address of `free_address` allows reuse, so it could not be held against the process.
        m_socket.impl()->bind(SocketAddress("127.0.0.1", 0));
        m_socket.connect(m_server.address());
        // Frees the address at once, instead of a minute after the end.
        m_socket.setLinger(true, 0);
        close_on_exec(m_server);
        close_on_exec(m_socket);
    }

    std::string address() const {
        return m_socket.address().toString();
    }

private:
    Poco::Net::ServerSocket m_server;
    Poco::Net::StreamSocket m_socket;
};

}  // namespace

// Guards against a process that ends by itself when it starts while its settings are being written.
TEST_CASE("a process that starts while its settings are written waits for them") {
    FrontProcess front;
    std::ofstream(front.settings_file) << "node=n\n";
    front.start();
    std::this_thread::sleep_for(READING_TIME);
    front.process.signal(SIGHUP);
    front.write_settings();
    CHECK(wait_until([&] { return front.accepts() || front.process.poll_end().has_value(); }));
    CHECK(front.accepts());
    front.process.signal(SIGTERM);
    std::optional<int> status;
    CHECK(wait_until([&] {
        status = front.process.poll_end();
        return status.has_value();
    }));
    CHECK(status == 0);
}

// Guards against a process that ends by itself when another socket holds its address for a while.
TEST_CASE("a process whose address is in use listens once it is free") {
    FrontProcess front;
    std::unique_ptr<AddressHolder> holder = std::make_unique<AddressHolder>();
    front.caller_address = holder->address();
    front.write_settings();
    front.start();
    std::optional<int> status;
    CHECK(wait_until([&] {
        status = front.process.poll_end();
        return front.has_logged("Address already in use") || status.has_value();
    }));
    front.process.signal(SIGHUP);
    holder.reset();
    CHECK(wait_until([&] {
        status = status.has_value() ? status : front.process.poll_end();
        return front.accepts() || status.has_value();
    }));
    CHECK_FALSE(status.has_value());
}

TEST_CASE("a process that waits for its address ends at SIGTERM without an error") {
    FrontProcess front;
    const AddressHolder holder;
    front.caller_address = holder.address();
    front.write_settings();
    front.start();
    REQUIRE(wait_until([&] { return front.has_logged("Address already in use"); }));
    front.process.signal(SIGTERM);
    std::optional<int> status;
    CHECK(wait_until([&] {
        status = front.process.poll_end();
        return status.has_value();
    }));
    CHECK(status == 0);
}

}  // namespace ebonymount
