// A front process among crowds of clients that do not behave.
//
// The process is the real program, with the memory and descriptors of a small machine in its
// settings. Its store, its targets and its callers are stand-ins on an event loop with a thread of
// its own; the functions here wait for what they start there. Checks are on what does not depend on
// the speed of the machine: that the process lives, its peak memory, its open descriptors, and that
// an ordinary request is answered.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "crowd_client.h"
#include "io/http_channel.h"
#include "io/http_listener.h"
#include "platform_store.h"
#include "soak_process.h"

namespace ebonymount {

/// A service with one target that answers every request at once, or none.
struct CrowdService {
    std::string name;
    std::size_t body_bytes = 0;
    bool answers = true;
};

/// Route `/NAME/` to a single service, or to the shards of a fan-out.
struct CrowdRoute {
    std::string name;
    std::vector<std::string> services;
    bool fan_out = false;
};

/// Listeners of a front process.
enum class FrontListener : std::uint8_t { callers, readiness, metrics };

/// What the machine gives the process.
struct FrontMachine {
    std::int64_t memory_mb = 128;
    std::int64_t max_open_files = 2048;
    /// Further lines of the settings file.
    std::string settings;
};

class CrowdedFront {
public:
    explicit CrowdedFront(FrontMachine machine);
    ~CrowdedFront();
    CrowdedFront(const CrowdedFront&) = delete;
    CrowdedFront& operator=(const CrowdedFront&) = delete;
    CrowdedFront(CrowdedFront&&) = delete;
    CrowdedFront& operator=(CrowdedFront&&) = delete;

    /// Starts the services and the process, and waits until a request on the first route is
    /// answered. False if none ever is.
    bool start(const std::vector<CrowdService>& services, const std::vector<CrowdRoute>& routes);

    /// Adds clients, and waits until each has sent all and, if `until_response`, has bytes of a
    /// response; for some seconds at most, as a server may not read or answer them.
    void add_crowd(std::size_t clients, FrontListener listener, const CrowdBehaviour& behaviour,
                   bool until_response);

    /// Gives the process time to receive what the crowds have sent.
    void wait_for_crowds();

    /// Waits until the server has ended all but that many of the clients' connections; false if it
    /// never does.
    bool wait_until_connected(std::size_t clients);

    /// Sends an ordinary request on a new connection, again after each failure as callers do, until
    /// it is answered with status 200. Empty if it never is.
    std::optional<HttpResponseMessage> ask(const HttpRequestMessage& request);

    /// Sends a request once; the response has status 0 if there is none.
    HttpResponseMessage ask_once(const HttpRequestMessage& request);

    bool is_running();
    /// Peak resident memory of the process.
    std::int64_t peak_memory_mb() const;
    /// The most descriptors that were open at any check.
    std::size_t max_open_descriptors();
    /// Value of one of the process's counters; -1 if it has none of that name.
    std::int64_t counter(const std::string& name);
    /// Everything that the process has logged.
    std::string log() const;

private:
    std::shared_ptr<HttpListener> open_target(const CrowdService& service);
    void publish_config(const std::vector<CrowdService>& services,
                        const std::vector<CrowdRoute>& routes);
    void write_settings() const;
    /// Runs the task on the loop's thread and waits for it.
    void run_on_loop(const std::function<void()>& task);
    /// Waits until the condition holds on the loop's thread; false if the time is over before.
    bool wait_until(const std::function<bool()>& condition, Duration limit);
    HttpResponseMessage call(const std::string& address, const HttpRequestMessage& request);
    void count_descriptors();
    std::size_t connected_clients() const;
    const std::string& address_of(FrontListener listener) const;

    FrontMachine m_machine;
    EventLoop m_loop;
    std::unique_ptr<standin::PlatformStore> m_store;
    std::filesystem::path m_directory;
    std::string m_caller_address;
    std::string m_ready_address;
    std::string m_metrics_address;
    soak::SoakProcess m_process;
    std::vector<std::shared_ptr<HttpListener>> m_targets;
    std::vector<std::shared_ptr<CrowdClient>> m_clients;
    std::size_t m_max_open_descriptors = 0;
    std::int64_t m_next_request = 1;
};

/// An ordinary request of a caller.
HttpRequestMessage caller_request(const std::string& path, std::string body = "");

}  // namespace ebonymount
