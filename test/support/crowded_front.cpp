#include "crowded_front.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "io/http_status.h"
#include "loopback.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(40000);
/// How long a crowd may take to send and be answered; a front that refuses or pauses it goes on.
constexpr Duration EXPOSURE = from_ms(5000);
constexpr Duration RECEIVING_TIME = from_ms(2000);
constexpr Duration CHECK_INTERVAL = from_ms(20);
/// A caller gives an attempt up after this time, and repeats it after the pause.
constexpr Duration ATTEMPT_TIME = from_ms(2000);
constexpr Duration REPEAT_PAUSE = from_ms(100);
constexpr const char* DEADLINE_MS = "20000";
constexpr const char* HOST = "crowd.example";

std::string port_of(const std::string& address) {
    return address.substr(address.find(':') + 1);
}

nlohmann::json service_json(const std::string& name) {
    return {{"name", name},
            {"health_path", "/health"},
            {"max_connections", 400},
            {"cold_start_s", 1.0},
            {"cold_per_s", 0.0}};
}

nlohmann::json route_json(const CrowdRoute& route) {
    nlohmann::json row = {{"name", route.name},
                          {"hostname", HOST},
                          {"path_prefix", "/" + route.name + "/"},
                          {"type", "idempotent"},
                          {"timeout_ms", 20000},
                          {"target_latency_ms", 1000},
                          {"priority", 1},
                          {"max_attempts", 2},
                          {"allowed_regions", nlohmann::json::array()}};
    if (route.fan_out) {
        row["fanout_services"] = route.services;
        row["top_k"] = 50;
        row["min_success_share"] = 0.9;
    } else {
        row["service"] = route.services.front();
    }
    return row;
}

}  // namespace

HttpRequestMessage caller_request(const std::string& path, std::string body) {
    HttpRequestMessage request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = path;
    request.headers = {{"Host", HOST}, {names::DEADLINE, DEADLINE_MS}};
    request.body = std::move(body);
    return request;
}

CrowdedFront::CrowdedFront(FrontMachine machine)
    : m_machine(std::move(machine)),
      m_directory(std::filesystem::temp_directory_path() /
                  ("front-crowd-" + std::to_string(getpid()))),
      m_caller_address(free_address()),
      m_ready_address(free_address()),
      m_metrics_address(free_address()) {
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    run_on_loop(
        [this] { m_store = std::make_unique<standin::PlatformStore>(m_loop, "127.0.0.1:0", 1); });
}

CrowdedFront::~CrowdedFront() {
    run_on_loop([this] {
        for (const std::shared_ptr<CrowdClient>& client : m_clients) {
            client->close();
        }
        for (const std::shared_ptr<HttpListener>& target : m_targets) {
            target->close();
        }
    });
    // The store has timers on the loop, so it may end only after it.
    m_loop.stop();
    std::filesystem::remove_all(m_directory);
}

void CrowdedFront::run_on_loop(const std::function<void()>& task) {
    // The task shares the promise, as `set_value` may still use it when the wait has ended.
    const std::shared_ptr<std::promise<void>> done = std::make_shared<std::promise<void>>();
    m_loop.post([&task, done] {
        task();
        done->set_value();
    });
    done->get_future().wait();
}

std::shared_ptr<HttpListener> CrowdedFront::open_target(const CrowdService& service) {
    // Records of equal bytes; a fan-out of several such services has equal records.
    const std::string body(service.body_bytes, 'r');
    const auto handler = [name = service.name, answers = service.answers, body](
                             const std::shared_ptr<HttpServerConnection>& connection,
                             const HttpRequestMessage& request) {
        if (!answers) {
            return;
        }
        HttpResponseMessage response;
        response.status = http::OK;
        response.headers = {
            {names::REQUEST_ID, std::string(find_header(request.headers, names::REQUEST_ID))},
            {names::SIGNATURE, "stamp-" + name}};
        response.body = body;
        connection->respond(std::move(response));
    };
    return std::get<std::shared_ptr<HttpListener>>(
        HttpListener::listen(m_loop, "127.0.0.1:0", HttpListenerOptions{}, handler));
}

void CrowdedFront::publish_config(const std::vector<CrowdService>& services,
                                  const std::vector<CrowdRoute>& routes) {
    nlohmann::json service_rows = nlohmann::json::array();
    for (const CrowdService& service : services) {
        service_rows.push_back(service_json(service.name));
    }
    nlohmann::json route_rows = nlohmann::json::array();
    for (const CrowdRoute& route : routes) {
        route_rows.push_back(route_json(route));
    }
    m_store->put(names::CONFIG_KIND, names::CONFIG_NAME,
                 {{"version", 1},
                  {"routes", route_rows},
                  {"services", service_rows},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 262144},
                    {"header_timeout_ms", 60000},
                    {"idle_timeout_ms", 60000}}}});
}

void CrowdedFront::write_settings() const {
    std::ofstream(m_directory / "front.conf")
        << "node=n\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\nbind_addresses.front="
        << m_caller_address << "\nbind_addresses.ready=" << m_ready_address
        << "\nbind_addresses.control=" << free_address()
        << "\nplatform.address=" << m_store->address() << "\nseeds=\nbootstrap=true"
        << "\nbounds.retry_budget_ratio=0.2\nbounds.budget_slack=50"
        << "\nlimits.cpu_share=1\nlimits.memory_mb=" << m_machine.memory_mb
        << "\nlimits.max_open_files=" << m_machine.max_open_files << "\n"
        << m_machine.settings << "\n";
}

bool CrowdedFront::start(const std::vector<CrowdService>& services,
                         const std::vector<CrowdRoute>& routes) {
    run_on_loop([this, &services, &routes] {
        for (const CrowdService& service : services) {
            m_targets.push_back(open_target(service));
            m_store->put(names::TARGETS_KIND, "target-" + service.name,
                         {{"service", service.name},
                          {"address", m_targets.back()->address()},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"max_concurrency", 400},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"sequence", 1}});
        }
        publish_config(services, routes);
        write_settings();
        m_process.start({FRONT_PROGRAM, "--settings", m_directory / "front.conf", "--metrics-port",
                         port_of(m_metrics_address)},
                        m_directory / "front.log");
        const rlim_t descriptors = static_cast<rlim_t>(m_machine.max_open_files);
        const rlimit limit{descriptors, descriptors};
        prlimit(m_process.id(), RLIMIT_NOFILE, &limit, nullptr);
        count_descriptors();
    });
    return ask(caller_request("/" + routes.front().name + "/start")).has_value();
}

void CrowdedFront::count_descriptors() {
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(m_process.id()) + "/fd", error);
    if (!error) {
        const std::ptrdiff_t count = std::distance(begin(descriptors), end(descriptors));
        m_max_open_descriptors = std::max(m_max_open_descriptors, static_cast<std::size_t>(count));
    }
    m_loop.run_at(monotonic_now() + CHECK_INTERVAL, [this] { count_descriptors(); });
}

bool CrowdedFront::wait_until(const std::function<bool()>& condition, Duration limit) {
    const Time give_up_at = monotonic_now() + limit;
    bool holds = false;
    while (!holds && monotonic_now() < give_up_at) {
        std::this_thread::sleep_for(CHECK_INTERVAL);
        run_on_loop([&holds, &condition] { holds = condition(); });
    }
    return holds;
}

const std::string& CrowdedFront::address_of(FrontListener listener) const {
    switch (listener) {
        case FrontListener::callers:
            return m_caller_address;
        case FrontListener::readiness:
            return m_ready_address;
        case FrontListener::metrics:
            return m_metrics_address;
    }
    return m_caller_address;
}

void CrowdedFront::add_crowd(std::size_t clients, FrontListener listener,
                             const CrowdBehaviour& behaviour, bool until_response) {
    std::vector<std::shared_ptr<CrowdClient>> crowd;
    run_on_loop([&] {
        for (std::size_t i = 0; i < clients; ++i) {
            crowd.push_back(CrowdClient::open(m_loop, address_of(listener), behaviour));
        }
        m_clients.insert(m_clients.end(), crowd.begin(), crowd.end());
    });
    const auto is_settled = [until_response](const std::shared_ptr<CrowdClient>& client) {
        return client->has_sent() && (!until_response || client->has_response());
    };
    wait_until([&] { return std::all_of(crowd.begin(), crowd.end(), is_settled); }, EXPOSURE);
}

void CrowdedFront::wait_for_crowds() {
    std::this_thread::sleep_for(RECEIVING_TIME);
}

std::size_t CrowdedFront::connected_clients() const {
    return static_cast<std::size_t>(std::count_if(
        m_clients.begin(), m_clients.end(),
        [](const std::shared_ptr<CrowdClient>& client) { return !client->has_ended(); }));
}

bool CrowdedFront::wait_until_connected(std::size_t clients) {
    return wait_until([this, clients] { return connected_clients() <= clients; }, HANG_LIMIT);
}

std::optional<HttpResponseMessage> CrowdedFront::ask(const HttpRequestMessage& request) {
    const Time give_up_at = monotonic_now() + HANG_LIMIT;
    while (monotonic_now() < give_up_at) {
        HttpResponseMessage response = ask_once(request);
        if (response.status == http::OK) {
            return response;
        }
        std::this_thread::sleep_for(REPEAT_PAUSE);
    }
    return std::nullopt;
}

HttpResponseMessage CrowdedFront::ask_once(const HttpRequestMessage& request) {
    return call(m_caller_address, request);
}

HttpResponseMessage CrowdedFront::call(const std::string& address,
                                       const HttpRequestMessage& request) {
    struct Outcome {
        bool ended = false;
        HttpResponseMessage response;
    };
    const std::shared_ptr<Outcome> outcome = std::make_shared<Outcome>();
    HttpRequestMessage sent = request;
    sent.headers.push_back({names::REQUEST_ID, "r" + std::to_string(m_next_request++)});
    sent.keep_alive = false;
    ChannelCall call;
    call.make_request = [sent] {
        return encode(sent);
    };
    call.on_sent = [] {
    };
    call.on_end = [outcome](CallStatus status, HttpResponseMessage response) {
        outcome->ended = true;
        if (status == CallStatus::answered) {
            outcome->response = std::move(response);
        }
    };
    std::shared_ptr<HttpChannel> channel;
    run_on_loop([&] {
        channel = HttpChannel::open(m_loop, address, [](HttpChannel&) {});
        if (channel != nullptr) {
            channel->start(std::move(call));
        }
    });
    if (channel == nullptr) {
        return {};
    }
    wait_until([outcome] { return outcome->ended; }, ATTEMPT_TIME);
    run_on_loop([&channel] { channel->close(); });
    return outcome->response;
}

bool CrowdedFront::is_running() {
    bool is_running = false;
    run_on_loop([this, &is_running] {
        m_process.poll_end();
        is_running = m_process.is_running();
    });
    return is_running;
}

std::int64_t CrowdedFront::peak_memory_mb() const {
    std::ifstream status("/proc/" + std::to_string(m_process.id()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoll(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return 0;
}

std::size_t CrowdedFront::max_open_descriptors() {
    std::size_t most = 0;
    run_on_loop([this, &most] { most = m_max_open_descriptors; });
    return most;
}

std::int64_t CrowdedFront::counter(const std::string& name) {
    const HttpResponseMessage response = call(m_metrics_address, caller_request("/metrics"));
    std::istringstream lines(response.body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stoll(line.substr(name.size() + 1));
        }
    }
    return -1;
}

std::string CrowdedFront::log() const {
    std::ostringstream text;
    text << std::ifstream(m_directory / "front.log").rdbuf();
    return text.str();
}

}  // namespace ebonymount
