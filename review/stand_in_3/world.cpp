#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace world {
namespace {

const Clock::time_point STARTED = Clock::now();
constexpr std::size_t PAGE_SIZE = 50;

sockaddr_in address_of(const std::string& host, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

/// Appends what arrives; false at the end of the stream or of the time.
bool receive(int socket, std::string& buffer, std::int64_t timeout_ms) {
    pollfd state{socket, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(timeout_ms)) <= 0) {
        return false;
    }
    std::array<char, 65536> chunk{};
    const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return query;
}

Json object_json(const std::string& name, std::int64_t revision, const Json& spec) {
    return {{"meta",
             {{"name", name},
              {"revision", revision},
              {"create_rev", revision},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
}

}  // namespace

double now_ms() {
    return std::chrono::duration<double, std::milli>(Clock::now() - STARTED).count();
}

void sleep_ms(std::int64_t milliseconds) {
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

Record::Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {
    if (m_file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record() {
    std::fclose(m_file);
}

void Record::line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::fprintf(m_file, "%9.3f %s\n", now_ms() / 1000.0, text.c_str());
    std::fflush(m_file);
}

std::string Message::header(const std::string& name) const {
    const auto found = headers.find(lower(name));
    return found == headers.end() ? "" : found->second;
}

bool read_message(int socket, std::string& buffer, Message& message, std::int64_t timeout_ms) {
    const double give_up = now_ms() + static_cast<double>(timeout_ms);
    const auto more = [&] {
        const double left = give_up - now_ms();
        return left > 0.0 && receive(socket, buffer, static_cast<std::int64_t>(left) + 1);
    };
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!more()) {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    message = Message{};
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> message.method >> message.target;
    if (message.method.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(message.target.c_str());
    }
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    const std::size_t length =
        static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    while (buffer.size() < end + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

bool send_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string response_text(int status,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int connect_to(const std::string& address, std::int64_t timeout_ms) {
    const std::size_t colon = address.find(':');
    const sockaddr_in to =
        address_of(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, static_cast<suseconds_t>(timeout_ms % 1000 * 1000)};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

std::vector<int> free_ports(const std::vector<std::string>& hosts, std::size_t count) {
    std::vector<int> ports;
    for (int port = 21000 + getpid() % 500 * 20; ports.size() < count && port < 32000; ++port) {
        bool is_free = true;
        for (const std::string& host : hosts) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            const sockaddr_in address = address_of(host, port);
            is_free = is_free && bind(socket, reinterpret_cast<const sockaddr*>(&address),
                                      sizeof address) == 0;
            close(socket);
        }
        if (is_free) {
            ports.push_back(port);
        }
    }
    if (ports.size() < count) {
        throw std::runtime_error("too few free ports");
    }
    return ports;
}

struct Server::Shared {
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    std::set<int> connections;
    bool stopped = false;
    std::condition_variable ended;
    int threads = 0;
};

Server::Server(const std::string& host, int port, Handler handler)
    : m_shared(std::make_shared<Shared>()) {
    m_shared->handler = std::move(handler);
    m_shared->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_shared->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = address_of(host, port);
    if (bind(m_shared->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(m_shared->listener, 256) != 0) {
        throw std::runtime_error("cannot listen at " + host);
    }
    socklen_t size = sizeof address;
    getsockname(m_shared->listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = host + ":" + std::to_string(ntohs(address.sin_port));
    m_shared->threads = 1;
    std::thread([shared = m_shared] {
        const auto leave = [&shared] {
            const std::lock_guard<std::mutex> lock(shared->mutex);
            --shared->threads;
            shared->ended.notify_all();
        };
        while (true) {
            const int socket = accept4(shared->listener, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard<std::mutex> lock(shared->mutex);
            if (socket < 0 || shared->stopped) {
                if (socket >= 0) {
                    close(socket);
                }
                break;
            }
            const int yes = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            shared->connections.insert(socket);
            ++shared->threads;
            std::thread([shared, socket] {
                std::string buffer;
                Message request;
                while (read_message(socket, buffer, request, 3600000)) {
                    const std::string response = shared->handler(request);
                    if (response.empty() || !send_all(socket, response)) {
                        break;
                    }
                }
                const std::lock_guard<std::mutex> inner(shared->mutex);
                shared->connections.erase(socket);
                close(socket);
                --shared->threads;
                shared->ended.notify_all();
            }).detach();
        }
        leave();
    }).detach();
}

Server::~Server() {
    stop();
    std::unique_lock<std::mutex> lock(m_shared->mutex);
    m_shared->ended.wait_for(lock, Milliseconds(5000), [this] { return m_shared->threads == 0; });
}

std::string Server::address() const {
    return m_address;
}

void Server::stop() {
    const std::lock_guard<std::mutex> lock(m_shared->mutex);
    if (m_shared->stopped) {
        return;
    }
    m_shared->stopped = true;
    shutdown(m_shared->listener, SHUT_RDWR);
    close(m_shared->listener);
    for (const int socket : m_shared->connections) {
        shutdown(socket, SHUT_RDWR);
    }
}

Store::Store(const std::string& host)
    : m_server(std::make_unique<Server>(
          host, 0, [this](const Message& request) { return serve(request); })) {}

std::string Store::address() const {
    return m_server->address();
}

std::int64_t Store::append(const std::string& kind, const std::string& name, bool removed,
                           const Json& spec) {
    m_changes.push_back({kind, name, ++m_revision, Clock::now(), removed, spec});
    m_changed.notify_all();
    return m_revision;
}

std::int64_t Store::put(const std::string& kind, const std::string& name, const Json& spec) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return append(kind, name, false, spec);
}

std::int64_t Store::remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return append(kind, name, true, nullptr);
}

void Store::set_stale_by(std::int64_t milliseconds) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stale_ms = milliseconds;
}

void Store::set_away(bool is_away) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_away = is_away;
    m_changed.notify_all();
}

void Store::take_copy() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_copy = m_changes;
    m_copy_revision = m_revision;
}

void Store::restore_copy() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_changes = m_copy;
    m_revision = m_copy_revision;
    ++m_era;
    m_changed.notify_all();
}

std::int64_t Store::revision() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_revision;
}

std::size_t Store::count(const std::string& kind) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return objects_of(kind, m_changes.size()).size();
}

std::int64_t Store::reads(const std::string& kind) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_reads.find(kind);
    return found == m_reads.end() ? 0 : found->second;
}

std::string Store::answer(int status, const Json& body) const {
    return response_text(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}},
        body.dump());
}

std::string Store::serve(const Message& request) {
    sleep_ms(4);
    const std::string prefix = "/ebonymount/objects/";
    const std::string path = request.target.substr(0, request.target.find('?'));
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_away) {
        return "";
    }
    if (path.rfind(prefix, 0) != 0) {
        return answer(404, Json::object());
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::map<std::string, std::string> query = query_of(request.target);
    if (request.method != "GET") {
        return write(request.method, kind, name, request);
    }
    ++m_reads[kind];
    if (!name.empty()) {
        const std::map<std::string, Change> objects = objects_of(kind, m_changes.size());
        const auto found = objects.find(name);
        return found == objects.end()
                   ? answer(404, Json::object())
                   : answer(200, object_json(name, found->second.revision, found->second.spec));
    }
    if (query.count("watch") == 0) {
        return list(kind, query);
    }
    const Clock::time_point until =
        Clock::now() + Milliseconds(std::atoll(query.at("wait_ms").c_str()));
    while (true) {
        const std::string response = watch(kind, query);
        if (m_away) {
            return "";
        }
        if (!response.empty()) {
            return response;
        }
        if (Clock::now() >= until) {
            break;
        }
        m_changed.wait_for(lock, Milliseconds(10));
    }
    const std::size_t changes = visible(query.count("allow_stale") > 0);
    return answer(200, {{"events", Json::array()},
                        {"store_revision", changes == 0 ? 1 : m_changes[changes - 1].revision}});
}

std::size_t Store::visible(bool stale) const {
    const Clock::time_point until = Clock::now() - Milliseconds(stale ? m_stale_ms : 0);
    std::size_t count = m_changes.size();
    while (count > 0 && m_changes[count - 1].at > until) {
        --count;
    }
    return count;
}

std::map<std::string, Store::Change> Store::objects_of(const std::string& kind,
                                                       std::size_t changes) const {
    std::map<std::string, Change> objects;
    for (std::size_t i = 0; i < changes; ++i) {
        if (m_changes[i].kind == kind && m_changes[i].removed) {
            objects.erase(m_changes[i].name);
        } else if (m_changes[i].kind == kind) {
            objects[m_changes[i].name] = m_changes[i];
        }
    }
    return objects;
}

std::string Store::list(const std::string& kind, const std::map<std::string, std::string>& query) {
    const std::size_t changes = visible(query.count("allow_stale") > 0);
    const std::map<std::string, Change> objects = objects_of(kind, changes);
    const auto after = query.find("after");
    auto next = after == query.end() ? objects.begin() : objects.upper_bound(after->second);
    Json items = Json::array();
    for (; next != objects.end() && items.size() < PAGE_SIZE; ++next) {
        items.push_back(object_json(next->first, next->second.revision, next->second.spec));
    }
    return answer(200, {{"items", items},
                        {"has_more", next != objects.end()},
                        {"store_revision", changes == 0 ? 1 : m_changes[changes - 1].revision}});
}

std::string Store::watch(const std::string& kind, const std::map<std::string, std::string>& query) {
    const std::int64_t after = std::atoll(query.at("watch").c_str());
    const bool stale = query.count("allow_stale") > 0;
    if (after > m_revision) {
        return answer(410, Json::object());
    }
    Json events = Json::array();
    const std::size_t changes = visible(stale);
    for (std::size_t i = 0; i < changes; ++i) {
        const Change& change = m_changes[i];
        if (change.kind == kind && change.revision > after) {
            events.push_back({{"deleted", change.removed},
                              {"object", object_json(change.name, change.revision, change.spec)}});
        }
    }
    if (events.empty()) {
        return "";
    }
    return answer(200, {{"events", events}, {"store_revision", m_changes[changes - 1].revision}});
}

std::string Store::write(const std::string& method, const std::string& kind,
                         const std::string& path_name, const Message& request) {
    const Json body =
        request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return answer(400, Json::object());
    }
    const Json meta = body.value("meta", Json::object());
    const std::string name = path_name.empty() ? meta.value("name", "") : path_name;
    const std::map<std::string, Change> objects = objects_of(kind, m_changes.size());
    const auto found = objects.find(name);
    if (method == "POST" && found != objects.end()) {
        return answer(409, object_json(name, found->second.revision, found->second.spec));
    }
    if (method != "POST" && found == objects.end()) {
        return answer(404, Json::object());
    }
    const Json spec = body.value("spec", Json());
    if (method != "POST") {
        const std::int64_t expected = meta.value("revision", found->second.revision);
        if (expected != found->second.revision) {
            return answer(409, object_json(name, found->second.revision, found->second.spec));
        }
        if (method == "PUT" && found->second.spec == spec) {
            return answer(200, object_json(name, found->second.revision, spec));
        }
    }
    append(kind, name, method == "DELETE", spec);
    return answer(200, object_json(name, m_revision, spec));
}

void RunLog::add(const Run& run) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_runs.push_back(run);
}

std::vector<Run> RunLog::all() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

Searcher::Searcher(const std::string& id, const std::string& service, const std::string& zone,
                   std::int64_t work_ms, RunLog& runs)
    : m_id(id),
      m_service(service),
      m_zone(zone),
      m_work_ms(work_ms),
      m_runs(runs),
      m_born_ms(std::chrono::duration_cast<Milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
      m_server(std::make_unique<Server>(
          "127.0.0.1", 0, [this](const Message& request) { return serve(request); })) {}

Json Searcher::entry(const std::string& state) const {
    return {{"service", m_service},   {"address", m_server->address()},
            {"zone", m_zone},         {"version", "v1"},
            {"max_concurrency", 8},   {"state", state},
            {"cold_remaining_ms", 0}, {"sequence", 1},
            {"born", m_born_ms}};
}

const std::string& Searcher::id() const {
    return m_id;
}

void Searcher::exit() {
    m_server->stop();
}

std::string Searcher::serve(const Message& request) {
    const std::string request_id = request.header("X-Ebonymount-Request-Id");
    if (request.target == "/health") {
        return response_text(200, {{"X-Ebonymount-Instance-Id", m_id}}, "");
    }
    const std::string expected = request.header("X-Ebonymount-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        return response_text(421,
                             {{"X-Ebonymount-Request-Id", request_id},
                              {"X-Ebonymount-Not-Executed", "1"},
                              {"X-Ebonymount-Instance-Id", m_id}},
                             "");
    }
    m_runs.add({now_ms(), m_id, m_service, request_id, request.body.size()});
    ++m_running;
    sleep_ms(m_work_ms);
    const int running = --m_running;
    return response_text(200,
                         {{"X-Ebonymount-Request-Id", request_id},
                          {"X-Ebonymount-Server-Stamp", m_id + "." + std::to_string(++m_answers)},
                          {"X-Ebonymount-Server-Load", std::to_string(running) + ",0,8"}},
                         m_service + " has run " + request_id + "\n");
}

FrontProcess::FrontProcess(FrontPlace place, const Ports& ports, const std::string& store_address,
                           const std::vector<FrontPlace>& all, const std::string& folder)
    : m_place(std::move(place)),
      m_ports(ports),
      m_store_address(store_address),
      m_all(all),
      m_folder(folder) {}

FrontProcess::~FrontProcess() {
    kill_and_wait();
}

void FrontProcess::start(bool bootstrap) {
    const std::string file = m_folder + "/" + m_place.node + ".conf";
    std::ofstream out(file);
    const auto at = [this](const std::string& host, int port) {
        return host + ":" + std::to_string(port);
    };
    out << "node=" << m_place.node << "\nrole=front\nmachine_class=front\n"
        << "serves=front,control_plane\nip=" << m_place.host << "\nzone=" << m_place.zone
        << "\nregion=" << m_place.region << "\n";
    std::set<std::string> zones;
    for (const FrontPlace& place : m_all) {
        if (zones.insert(place.zone).second) {
            out << "zones." << place.zone << "=" << place.region << "\n";
        }
    }
    out << "bind_addresses.front=" << at(m_place.host, m_ports.front) << "\n"
        << "bind_addresses.ready=" << at(m_place.host, m_ports.ready) << "\n"
        << "bind_addresses.control=" << at(m_place.host, m_ports.control) << "\n"
        << "internal_port_range=" << m_ports.internal << "," << m_ports.internal + 15 << "\nseeds=";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_all.size()); ++i) {
        out << (i == 0 ? "" : ",") << at(m_all[i].host, m_ports.control);
    }
    out << "\nbootstrap=" << (bootstrap ? "true" : "false")
        << "\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n"
           "limits.memory_mb=260\nlimits.max_open_files=4100\nlimits.link_mbps=1000.0\n"
           "limits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,scatter,places,platform\n"
           "fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n"
           "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n"
           "bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\n"
           "bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
           "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=12000\n"
           "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=52\n"
           "bounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n"
           "bounds.recovery_s=12\nplatform.address="
        << m_store_address
        << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
           "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    out.close();
    const std::string log = m_folder + "/" + m_place.node + ".log";
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::string program = "target/ebonymount_front";
    std::string setting = "EBONYMOUNT_BOOT=" + file;
    std::string path = "PATH=/usr/bin:/bin";
    const std::array<char*, 2> arguments = {program.data(), nullptr};
    const std::array<char*, 3> environment = {setting.data(), path.data(), nullptr};
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, 1);
        dup2(output, 2);
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    close(output);
}

void FrontProcess::send_signal(int signal) const {
    if (m_pid > 0) {
        kill(m_pid, signal);
    }
}

bool FrontProcess::has_ended(std::string& end) {
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return false;
    }
    m_pid = -1;
    end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status));
    return true;
}

void FrontProcess::kill_and_wait() {
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool FrontProcess::is_ready() const {
    const int socket = connect_to(m_place.host + ":" + std::to_string(m_ports.ready), 500);
    if (socket < 0) {
        return false;
    }
    std::string buffer;
    Message answer;
    const bool ready =
        send_all(socket, "GET /ebonymount/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        read_message(socket, buffer, answer, 500) && answer.status == 200;
    close(socket);
    return ready;
}

std::string FrontProcess::address() const {
    return m_place.host + ":" + std::to_string(m_ports.front);
}

const FrontPlace& FrontProcess::place() const {
    return m_place;
}

bool wait_until_ready(const std::vector<std::unique_ptr<FrontProcess>>& fronts,
                      std::int64_t timeout_ms) {
    const double give_up = now_ms() + static_cast<double>(timeout_ms);
    while (now_ms() < give_up) {
        if (std::all_of(
                fronts.begin(), fronts.end(),
                [](const std::unique_ptr<FrontProcess>& front) { return front->is_ready(); })) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

namespace {

/// Sends a request and reads its answer. False if the connection cannot be used again.
bool exchange(int socket, std::string& buffer, const std::string& host, const std::string& method,
              const std::string& path, std::int64_t deadline_ms, Answer& answer) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Ebonymount-Request-Id: " + answer.request_id +
                       "\r\nX-Ebonymount-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method == "POST") {
        text += "Content-Length: 2\r\n\r\nok";
    } else {
        text += "\r\n";
    }
    answer.sent_ms = now_ms();
    Message message;
    const bool answered =
        send_all(socket, text) && read_message(socket, buffer, message, deadline_ms + 1000);
    answer.answered_ms = now_ms();
    answer.status = answered ? message.status : 0;
    answer.signature = message.header("X-Ebonymount-Server-Stamp");
    answer.body = message.body;
    return answered && lower(message.header("Connection")) != "close";
}

}  // namespace

Answer send_once(const std::string& front, const std::string& host, const std::string& method,
                 const std::string& path, const std::string& request_id, std::int64_t deadline_ms) {
    Answer answer;
    answer.request_id = request_id;
    answer.front = front;
    answer.sent_ms = now_ms();
    const int socket = connect_to(front, 1000);
    if (socket >= 0) {
        std::string buffer;
        exchange(socket, buffer, host, method, path, deadline_ms, answer);
        close(socket);
    }
    answer.answered_ms = now_ms();
    return answer;
}

Clients::Clients(Options options) : m_options(std::move(options)) {}

Clients::~Clients() {
    stop();
}

void Clients::start(const std::string& front, int count) {
    for (int i = 0; i < count; ++i) {
        const int number = static_cast<int>(m_threads.size());
        m_threads.emplace_back([this, front, number] { work(front, number); });
    }
}

void Clients::work(const std::string& front, int number) {
    int socket = -1;
    std::string buffer;
    for (int sequence = 0; !m_stopping; ++sequence) {
        if (socket < 0) {
            buffer.clear();
            socket = connect_to(front, 1000);
        }
        if (socket < 0) {
            sleep_ms(100);
            continue;
        }
        Answer answer;
        answer.request_id = "c" + std::to_string(number) + "-" + std::to_string(sequence);
        answer.front = front;
        const bool keeps = exchange(socket, buffer, m_options.host, m_options.method,
                                    m_options.path, m_options.deadline_ms, answer);
        if (!keeps) {
            close(socket);
            socket = -1;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_answers.push_back(answer);
        }
        sleep_ms(m_options.pause_ms);
    }
    if (socket >= 0) {
        close(socket);
    }
}

void Clients::stop() {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

std::vector<Answer> Clients::answers() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_answers;
}

Json config(std::int64_t version, const std::vector<RouteRow>& routes,
            const std::vector<std::string>& services) {
    Json route_rows = Json::array();
    for (const RouteRow& route : routes) {
        route_rows.push_back({{"name", route.name},
                              {"hostname", route.host},
                              {"path_prefix", route.path_prefix},
                              {"type", route.type},
                              {"timeout_ms", route.timeout_ms},
                              {"target_latency_ms", route.target_latency_ms},
                              {"priority", 2},
                              {"service", route.service},
                              {"max_attempts", 2},
                              {"allowed_regions", Json::array()}});
    }
    Json service_rows = Json::array();
    for (const std::string& name : services) {
        service_rows.push_back({{"name", name},
                                {"health_path", "/health"},
                                {"max_connections", 96},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"cold_start_s", 3.0},
                                {"cold_per_s", 0.0}});
    }
    return {{"version", version},
            {"routes", route_rows},
            {"services", service_rows},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

Folder::Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_path = pattern;
}

Folder::~Folder() {
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

const std::string& Folder::path() const {
    return m_path;
}

namespace {

constexpr std::size_t FRONT_PORTS = 20;
constexpr std::size_t SEARCHER_PORTS = 12;

std::vector<FrontPlace> make_places(std::size_t count) {
    const std::array<std::string, 3> regions = {"lowlands", "highlands", "borders"};
    std::vector<FrontPlace> places;
    places.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string& region = regions.at(i % regions.size());
        places.push_back({"front-" + region + "-a-" + std::to_string(i / regions.size() + 1),
                          "127.0.1." + std::to_string(i + 1), region + "-a", region});
    }
    return places;
}

std::vector<std::string> hosts_of(const std::vector<FrontPlace>& places) {
    std::vector<std::string> hosts = {"127.0.0.1"};
    for (const FrontPlace& place : places) {
        hosts.push_back(place.host);
    }
    return hosts;
}

}  // namespace

Deployment::Deployment(std::size_t places)
    : m_places(make_places(places)),
      m_free_ports(free_ports(hosts_of(m_places), FRONT_PORTS + SEARCHER_PORTS)),
      m_ports{m_free_ports.at(0), m_free_ports.at(1), m_free_ports.at(2), m_free_ports.at(3)},
      m_store("127.0.0.1") {
    // As old as on the site without any disruption.
    constexpr std::int64_t USUAL_STALE_MS = 800;
    m_store.set_stale_by(USUAL_STALE_MS);
}

Store& Deployment::store() {
    return m_store;
}

RunLog& Deployment::runs() {
    return m_runs;
}

const std::vector<std::unique_ptr<FrontProcess>>& Deployment::fronts() const {
    return m_fronts;
}

const std::string& Deployment::zone(std::size_t place) const {
    return m_places.at(place % m_places.size()).zone;
}

int Deployment::searcher_port(std::size_t number) const {
    return m_free_ports.at(FRONT_PORTS + number);
}

bool Deployment::start_fronts(std::size_t count, bool bootstrap) {
    constexpr std::int64_t READY_TIMEOUT_MS = 10000;
    for (std::size_t i = 0; i < count; ++i) {
        m_fronts.push_back(std::make_unique<FrontProcess>(
            m_places.at(m_fronts.size()), m_ports, m_store.address(), m_places, m_folder.path()));
        m_fronts.back()->start(bootstrap);
    }
    return wait_until_ready(m_fronts, READY_TIMEOUT_MS);
}

int run_case(int argc, char** argv, int (*play)(Record& record)) {
    constexpr int CANNOT_RUN = 2;
    if (argc != 2) {
        return CANNOT_RUN;
    }
    try {
        Record record(argv[1]);
        return play(record);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CANNOT_RUN;
    }
}

bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace world
