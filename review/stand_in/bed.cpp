#include "bed.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace review {
namespace {

const Clock::time_point STARTED_AT = Clock::now();

constexpr Milliseconds SERVER_READ_TIME{60000};
constexpr Milliseconds STORE_ANSWER_TIME{4};
constexpr int LISTEN_BACKLOG = 512;

sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Ports for the parts of a case lie below the range from which systems take ports for outgoing
/// connections, so that a process can be started again on its port.
constexpr int FIRST_PORT = 15000;
constexpr int LAST_PORT = 30000;
constexpr int PORT_ATTEMPTS = 100;

/// Returns a listening socket; -1 if the port is taken.
int try_listen(const std::string& ip, int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = address_of(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(descriptor, LISTEN_BACKLOG) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

/// Listens on the wanted port, or on a free one if it is 0; sets `port`.
int listen_on(const std::string& ip, int* port, int wanted_port = 0) {
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> draw(FIRST_PORT, LAST_PORT);
    for (int attempt = 0; attempt < PORT_ATTEMPTS; ++attempt) {
        *port = wanted_port != 0 ? wanted_port : draw(random);
        const int descriptor = try_listen(ip, *port);
        if (descriptor >= 0) {
            return descriptor;
        }
        std::this_thread::sleep_for(Milliseconds(wanted_port != 0 ? 20 : 0));
    }
    throw std::runtime_error("cannot listen on " + ip);
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

std::string query_value(const std::string& query, const std::string& key) {
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string item = query.substr(start, end - start);
        if (item.rfind(key + "=", 0) == 0) {
            return item.substr(key.size() + 1);
        }
        start = end + 1;
    }
    return "";
}

const char* reason_of(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 421:
            return "Misdirected Request";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

}  // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - STARTED_AT).count();
}

void sleep_until_ms(std::int64_t at_ms) {
    std::this_thread::sleep_until(STARTED_AT + Milliseconds(at_ms));
}

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int free_port(const std::string& ip) {
    int port = 0;
    close(listen_on(ip, &port));
    return port;
}

Record::Record(const std::string& path) : m_file(path) {}

void Record::add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << now_ms() << " ms  " << line << '\n' << std::flush;
}

std::string Message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::path() const {
    const std::size_t start = start_line.find(' ') + 1;
    return start_line.substr(start, start_line.find(' ', start) - start);
}

int Message::status() const {
    return start_line.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(start_line.c_str() + 9) : 0;
}

Connection::Connection(int descriptor) : m_descriptor(descriptor) {
    const int one = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

Connection::~Connection() {
    close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(const std::string& ip, int port,
                                             Milliseconds timeout) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = address_of(ip, port);
    int error = 0;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        error = errno;
        if (error == EINPROGRESS) {
            pollfd state{descriptor, POLLOUT, 0};
            error = poll(&state, 1, static_cast<int>(timeout.count())) > 0 ? 0 : ETIMEDOUT;
            socklen_t size = sizeof error;
            if (error == 0) {
                getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
            }
        }
    }
    if (error != 0) {
        close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<Message> Connection::read(Milliseconds timeout) {
    const Clock::time_point deadline = Clock::now() + timeout;
    while (true) {
        std::optional<Message> message = take_message();
        if (message.has_value()) {
            return message;
        }
        const auto left =
            std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()) + Milliseconds(1);
        pollfd state{m_descriptor, POLLIN, 0};
        if (left.count() <= 0 || poll(&state, 1, static_cast<int>(left.count())) <= 0) {
            return std::nullopt;
        }
        std::array<char, 16384> chunk{};
        const ssize_t count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            m_ended = true;
            return std::nullopt;
        }
        m_buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

std::optional<Message> Connection::take_message() {
    const std::size_t end = m_buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    std::size_t start = m_buffer.find("\r\n");
    message.start_line = m_buffer.substr(0, start);
    while (start < end) {
        const std::size_t line_end = m_buffer.find("\r\n", start + 2);
        const std::string line = m_buffer.substr(start + 2, line_end - start - 2);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
        start = line_end;
    }
    const std::string length_text = message.header("content-length");
    const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
    if (m_buffer.size() < end + 4 + length) {
        return std::nullopt;
    }
    message.body = m_buffer.substr(end + 4, length);
    m_buffer.erase(0, end + 4 + length);
    return message;
}

bool Connection::has_ended() const {
    return m_ended;
}

bool Connection::is_closed_by_peer() const {
    char byte = 0;
    const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutdown() const {
    ::shutdown(m_descriptor, SHUT_RDWR);
}

Server::Server(const std::string& ip, int port, Handler serve)
    : m_listener(listen_on(ip, &m_port, port)),
      m_serve(std::move(serve)),
      m_acceptor([this] { accept_connections(); }) {}

Server::~Server() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    for (const std::shared_ptr<Connection>& connection : m_connections) {
        connection->shutdown();
    }
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

int Server::port() const {
    return m_port;
}

void Server::accept_connections() {
    while (true) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            m_serve(*connection);
            connection->shutdown();
        });
    }
}

std::string encode_response(int status, const std::vector<std::string>& header_lines,
                            const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status) + "\r\n";
    for (const std::string& line : header_lines) {
        text += line + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
}

Store::Store(const std::string& ip) {
    m_server =
        std::make_unique<Server>(ip, 0, [this](Connection& connection) { serve(connection); });
}

int Store::port() const {
    return m_server->port();
}

void Store::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(kind, name, spec, false);
}

void Store::put_text(const std::string& kind, const std::string& name, const nlohmann::json& spec,
                     const std::string& mark, const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mark = mark;
    m_text = text;
    change(kind, name, spec, false);
}

std::string Store::text_of(const nlohmann::json& body) const {
    std::string text = body.dump();
    const std::size_t at = m_mark.empty() ? std::string::npos : text.find(m_mark);
    if (at != std::string::npos) {
        text.replace(at, m_mark.size(), m_text);
    }
    return text;
}

nlohmann::json Store::change(const std::string& kind, const std::string& name,
                             const nlohmann::json& spec, bool deleted) {
    std::map<std::string, nlohmann::json>& objects = m_objects[kind];
    ++m_revision;
    const auto before = objects.find(name);
    const std::int64_t created =
        before == objects.end() ? m_revision : before->second["meta"]["create_rev"].get<int>();
    const nlohmann::json object = {{"meta",
                                    {{"name", name},
                                     {"revision", m_revision},
                                     {"create_rev", created},
                                     {"finalizers", nlohmann::json::array()},
                                     {"deleting", false}}},
                                   {"spec", spec},
                                   {"status", nullptr}};
    if (deleted) {
        objects.erase(name);
    } else {
        objects[name] = object;
    }
    m_events.push_back({m_revision, kind, deleted, object});
    m_changed.notify_all();
    return object;
}

void Store::serve(Connection& connection) {
    while (true) {
        const std::optional<Message> request = connection.read(SERVER_READ_TIME);
        if (!request.has_value()) {
            return;
        }
        std::this_thread::sleep_for(STORE_ANSWER_TIME);
        if (!connection.send(respond(*request)) || request->header("connection") == "close") {
            return;
        }
    }
}

std::string Store::respond(const Message& request) {
    const std::string method = request.start_line.substr(0, request.start_line.find(' '));
    const std::string path = request.path().substr(0, request.path().find('?'));
    const std::size_t question = request.path().find('?');
    const std::string query =
        question == std::string::npos ? std::string() : request.path().substr(question + 1);
    const std::string prefix = "/ebonymount/objects/";
    if (path.rfind(prefix, 0) != 0) {
        return encode_response(404, {}, "{}");
    }
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
        rest.find('/') == std::string::npos ? std::string() : rest.substr(rest.find('/') + 1);
    if (method != "GET") {
        return write(method, kind, name, request.body);
    }
    return query_value(query, "watch").empty() ? list(kind, query) : watch(kind, query);
}

std::string Store::list(const std::string& kind, const std::string& query) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string after = query_value(query, "after");
    nlohmann::json items = nlohmann::json::array();
    for (const auto& [name, object] : m_objects[kind]) {
        if (name > after) {
            items.push_back(object);
        }
    }
    const nlohmann::json body = {
        {"items", items}, {"has_more", false}, {"store_revision", m_revision}};
    return encode_response(200, {"Content-Type: application/json"}, text_of(body));
}

std::string Store::watch(const std::string& kind, const std::string& query) {
    const std::int64_t after = std::stoll(query_value(query, "watch"));
    const std::string wait_text = query_value(query, "wait_ms");
    const Milliseconds wait(wait_text.empty() ? 0 : std::stoi(wait_text));
    const Clock::time_point deadline = Clock::now() + wait;
    std::unique_lock<std::mutex> lock(m_mutex);
    nlohmann::json events = nlohmann::json::array();
    const auto collect = [&] {
        for (const Event& event : m_events) {
            if (event.kind == kind && event.revision > after) {
                events.push_back({{"object", event.object}, {"deleted", event.deleted}});
            }
        }
        return !events.empty();
    };
    while (!collect() && m_changed.wait_until(lock, deadline) != std::cv_status::timeout) {
    }
    const nlohmann::json body = {{"events", events}, {"store_revision", m_revision}};
    return encode_response(200, {"Content-Type: application/json"}, text_of(body));
}

std::string Store::write(const std::string& method, const std::string& kind,
                         const std::string& name, const std::string& body) {
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::vector<std::string> type = {"Content-Type: application/json"};
    std::map<std::string, nlohmann::json>& objects = m_objects[kind];
    if (method == "DELETE") {
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return encode_response(404, type, "{}");
        }
        const nlohmann::json spec = found->second["spec"];
        return encode_response(200, type, change(kind, name, spec, true).dump());
    }
    if (!document.is_object()) {
        return encode_response(400, type, "{}");
    }
    const std::string target = name.empty() ? document["meta"]["name"].get<std::string>() : name;
    const auto found = objects.find(target);
    if (method == "POST" && found != objects.end()) {
        return encode_response(409, type, found->second.dump());
    }
    if (method == "PUT" && found == objects.end()) {
        return encode_response(404, type, "{}");
    }
    if (method == "PUT" && found->second["spec"] == document["spec"]) {
        return encode_response(200, type, found->second.dump());
    }
    return encode_response(method == "POST" ? 201 : 200, type,
                           change(kind, target, document["spec"], false).dump());
}

Searcher::Searcher(SearcherParameters parameters, const std::string& ip, Record& record)
    : m_parameters(std::move(parameters)), m_ip(ip), m_record(record) {
    listen(0);
}

void Searcher::listen(int port) {
    m_started_at_ms = std::chrono::duration_cast<Milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    m_server =
        std::make_unique<Server>(m_ip, port, [this](Connection& connection) { serve(connection); });
    m_port = m_server->port();
}

void Searcher::crash() {
    m_record.add(m_parameters.id + " crashes");
    m_server.reset();
}

void Searcher::restart() {
    listen(m_port);
    m_record.add(m_parameters.id + " is back");
}

nlohmann::json Searcher::entry() const {
    return {{"service", m_parameters.service},
            {"address", m_ip + ":" + std::to_string(m_port)},
            {"zone", m_parameters.zone},
            {"version", "v1"},
            {"max_concurrency", m_parameters.slots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"sequence", 1},
            {"born", m_started_at_ms}};
}

const SearcherParameters& Searcher::parameters() const {
    return m_parameters;
}

int Searcher::port() const {
    return m_port;
}

std::map<std::string, int> Searcher::runs() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::map<std::string, int> Searcher::arrivals() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrivals;
}

void Searcher::serve(Connection& connection) {
    while (true) {
        const std::optional<Message> request = connection.read(SERVER_READ_TIME);
        if (!request.has_value() || !connection.send(handle(*request, connection))) {
            return;
        }
    }
}

std::string Searcher::refuse(int status, const std::string& request_id) const {
    return encode_response(
        status,
        {"X-Ebonymount-Request-Id: " + request_id, "X-Ebonymount-Instance-Id: " + m_parameters.id,
         "X-Ebonymount-Not-Executed: 1"},
        "");
}

std::string Searcher::handle(const Message& request, const Connection& connection) {
    const std::string id = request.header("x-ebonymount-request-id");
    const std::string expected = request.header("x-ebonymount-expect-instance");
    if (!expected.empty() && expected != m_parameters.id) {
        return refuse(421, id);
    }
    const std::string deadline_text = request.header("x-ebonymount-deadline-ms");
    const Milliseconds allowed(deadline_text.empty() ? 60000 : std::stoi(deadline_text));
    const Clock::time_point deadline = Clock::now() + allowed;
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_arrivals[id];
    if (m_running >= m_parameters.slots) {
        if (m_queued >= m_parameters.queue) {
            m_record.add(m_parameters.id + " refuses " + id + ": full");
            return refuse(503, id);
        }
        ++m_queued;
        const bool has_slot = m_slot_freed.wait_until(
            lock, deadline, [this] { return m_running < m_parameters.slots; });
        --m_queued;
        if (!has_slot) {
            m_record.add(m_parameters.id + " refuses " + id + ": its deadline passed in the queue");
            return refuse(503, id);
        }
    }
    ++m_running;
    ++m_runs[id];
    m_record.add(m_parameters.id + " runs " + id + ", deadline " + deadline_text + " ms");
    lock.unlock();
    const Clock::time_point done = Clock::now() + m_parameters.work;
    const bool is_late = done > deadline;
    // A searcher drops a request when its connection closes.
    while (Clock::now() < std::min(done, deadline) && !connection.is_closed_by_peer()) {
        std::this_thread::sleep_until(std::min({done, deadline, Clock::now() + Milliseconds(20)}));
    }
    lock.lock();
    --m_running;
    const std::string stamp = m_parameters.id + "." + std::to_string(++m_answers);
    const std::string load = std::to_string(m_running) + "," + std::to_string(m_queued) + "," +
                             std::to_string(m_parameters.slots);
    m_slot_freed.notify_one();
    return encode_response(is_late ? 504 : 200,
                           {"X-Ebonymount-Request-Id: " + id, "X-Ebonymount-Server-Stamp: " + stamp,
                            "X-Ebonymount-Server-Load: " + load},
                           is_late ? "" : "slot confirmed for " + id + "\n");
}

Node::Node(const std::string& name, const std::string& ip, int store_port,
           const std::string& directory, const std::string& zone)
    : m_name(name),
      m_ip(ip),
      m_front_port(free_port(ip)),
      m_ready_port(free_port(ip)),
      m_settings(directory + "/" + name + ".conf"),
      m_log(directory + "/" + name + ".log") {
    const std::string control = ip + ":" + std::to_string(free_port(ip));
    const std::string region = "lowlands";
    std::ofstream file(m_settings);
    file << "node=" << name << "\nrole=front\nmachine_class=front\nserves=front,control_plane\n"
         << "ip=" << ip << "\nzone=" << zone << "\nregion=" << region << "\nzones." << zone << "="
         << region << "\nbind_addresses.front=" << ip << ":" << m_front_port
         << "\nbind_addresses.ready=" << ip << ":" << m_ready_port
         << "\nbind_addresses.control=" << control << "\nseeds=" << control
         << "\nbootstrap=true\nin_tolerance=false\n"
         << "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
         << "limits.max_open_files=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
         << "discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n"
         << "contracts=base,drain,config,cost,retry,recover,scatter,places,platform\n"
         << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n"
         << "bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\n"
         << "bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
         << "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=12000\n"
         << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=52\n"
         << "bounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n"
         << "bounds.recovery_s=12\nplatform.address=127.0.0.1:" << store_port
         << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
         << "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    file.close();
    start();
}

void Node::start() {
    const std::string program = "target/ebonymount_front";
    if (access(program.c_str(), X_OK) != 0) {
        throw std::runtime_error(program + " is missing: run the build of the deploy file first");
    }
    const std::string variable = "EBONYMOUNT_BOOT=" + m_settings;
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_process = fork();
    if (m_process == 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        std::string path = std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "");
        std::string boot = variable;
        std::string word = program;
        const std::array<char*, 2> arguments = {word.data(), nullptr};
        const std::array<char*, 3> environment = {boot.data(), path.data(), nullptr};
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    close(log);
    if (m_process < 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Node::~Node() {
    if (!has_ended()) {
        kill(m_process, SIGCONT);
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

const std::string& Node::name() const {
    return m_name;
}

const std::string& Node::ip() const {
    return m_ip;
}

int Node::port() const {
    return m_front_port;
}

bool Node::is_ready() const {
    const std::unique_ptr<Connection> connection =
        Connection::open(m_ip, m_ready_port, Milliseconds(500));
    if (connection == nullptr) {
        return false;
    }
    connection->send(
        "GET /ebonymount/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const std::optional<Message> response = connection->read(Milliseconds(500));
    return response.has_value() && response->status() == 200;
}

void Node::signal(int number) {
    if (!has_ended()) {
        kill(m_process, number);
    }
}

bool Node::has_ended() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_ended && waitpid(m_process, &m_status, WNOHANG) == m_process) {
        m_ended = true;
    }
    return m_ended;
}

std::string Node::end_text() const {
    return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status))
                                 : "exit code " + std::to_string(WEXITSTATUS(m_status));
}

void Node::restart() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    start();
    m_ended = false;
}

TemporaryFolder::TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

const std::string& TemporaryFolder::path() const {
    return m_path;
}

namespace {

constexpr Milliseconds READY_TIME{10000};
constexpr const char* IP = "127.0.0.1";
constexpr const char* ROUTE_HOST = "show.example";
constexpr const char* ROUTE_PREFIX = "/book/";

nlohmann::json config_of(const RouteParameters& route, const std::string& service) {
    const nlohmann::json row = {{"name", "r-book"},
                                {"hostname", ROUTE_HOST},
                                {"path_prefix", ROUTE_PREFIX},
                                {"type", route.type},
                                {"timeout_ms", route.timeout_ms},
                                {"target_latency_ms", route.target_latency_ms},
                                {"priority", 2},
                                {"service", service},
                                {"max_attempts", route.max_attempts},
                                {"allowed_regions", nlohmann::json::array()}};
    const nlohmann::json limits = {{"max_header_bytes", 16384},
                                   {"max_body_bytes", 262144},
                                   {"header_timeout_ms", 3000},
                                   {"idle_timeout_ms", 15000}};
    const nlohmann::json service_row = {{"name", service},
                                        {"health_path", "/health"},
                                        {"max_connections", route.max_connections},
                                        {"protocol", "h1"},
                                        {"tls", false},
                                        {"cold_start_s", 3.0},
                                        {"cold_per_s", 0.0}};
    return {{"version", 7},
            {"routes", nlohmann::json::array({row})},
            {"services", nlohmann::json::array({service_row})},
            {"limits", limits}};
}

void wait_until_ready(const std::vector<std::unique_ptr<Node>>& nodes) {
    const Clock::time_point deadline = Clock::now() + READY_TIME;
    const auto is_ready = [](const std::unique_ptr<Node>& node) {
        return node->is_ready();
    };
    while (!std::all_of(nodes.begin(), nodes.end(), is_ready)) {
        if (Clock::now() > deadline) {
            throw std::runtime_error("the nodes do not become ready");
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
}

}  // namespace

Deployment::Deployment(const std::string& record_path, const DeploymentParameters& parameters)
    : m_record(record_path), m_store(IP) {
    for (int i = 0; i < parameters.searchers; ++i) {
        SearcherParameters searcher = parameters.searcher;
        searcher.id += std::to_string(i);
        m_searchers.push_back(std::make_unique<Searcher>(searcher, IP, m_record));
        m_store.put("servers", searcher.id, m_searchers.back()->entry());
    }
    m_store.put("config", "main", config_of(parameters.route, parameters.searcher.service));
    const std::string& zone = parameters.searcher.zone;
    for (int i = 1; i <= parameters.nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>("front-" + zone + "-" + std::to_string(i), IP,
                                                 m_store.port(), m_folder.path(), zone));
    }
    wait_until_ready(m_nodes);
}

Record& Deployment::record() {
    return m_record;
}

Store& Deployment::store() {
    return m_store;
}

const std::vector<std::unique_ptr<Searcher>>& Deployment::searchers() const {
    return m_searchers;
}

const std::vector<std::unique_ptr<Node>>& Deployment::nodes() const {
    return m_nodes;
}

const Searcher* Deployment::searcher_reached_by(const std::string& id) const {
    for (const std::unique_ptr<Searcher>& searcher : m_searchers) {
        if (searcher->arrivals().count(id) > 0) {
            return searcher.get();
        }
    }
    return nullptr;
}

void Deployment::kill_nodes(Milliseconds down) {
    m_record.add("all nodes get SIGKILL");
    for (const std::unique_ptr<Node>& node : m_nodes) {
        node->signal(SIGKILL);
    }
    std::this_thread::sleep_for(down);
    for (const std::unique_ptr<Node>& node : m_nodes) {
        while (!node->has_ended()) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        node->restart();
    }
    m_record.add("all nodes are started again");
}

std::optional<Message> ask(Connection& connection, const std::string& request, int deadline_ms,
                           Sent& sent, Record& record) {
    sent.sent_ms = now_ms();
    record.add("client sends " + sent.id);
    connection.send(request);
    std::optional<Message> answer = connection.read(Milliseconds(deadline_ms));
    sent.ended_ms = now_ms();
    sent.status = answer.has_value() ? answer->status() : 0;
    sent.was_cut = !answer.has_value() && connection.has_ended();
    std::string line = "client gets ";
    line += sent.was_cut ? "a closed connection" : std::to_string(sent.status);
    line += " for " + sent.id;
    if (sent.status >= 500) {
        line += ", Retry-After " + answer->header("retry-after") + ": " + answer->body;
    }
    record.add(line);
    return answer;
}

std::vector<Sent> run_open_loop(Deployment& deployment, const OpenLoop& loop) {
    const std::int64_t start_ms = now_ms();
    const std::int64_t count = loop.length_ms * loop.per_second / 1000;
    std::mutex mutex;
    std::vector<Sent> all_sent;
    std::vector<std::thread> requests;
    for (std::int64_t i = 0; i < count; ++i) {
        sleep_until_ms(start_ms + i * 1000 / loop.per_second);
        Sent sent;
        sent.id = "r" + std::to_string(i);
        sent.node = loop.choose_node(i);
        sent.sent_ms = now_ms();
        requests.emplace_back([&, sent, page = loop.choose_page(i)]() mutable {
            const Node& node = *deployment.nodes()[sent.node];
            const std::unique_ptr<Connection> connection =
                Connection::open(node.ip(), node.port(), Milliseconds(1000));
            if (connection == nullptr) {
                deployment.record().add("client cannot connect to " + node.name() + " for " +
                                        sent.id);
            } else {
                ask(*connection, request_text("GET", sent.id, loop.deadline_ms, page),
                    loop.deadline_ms, sent, deployment.record());
            }
            const std::lock_guard<std::mutex> lock(mutex);
            all_sent.push_back(sent);
        });
    }
    for (std::thread& request : requests) {
        request.join();
    }
    return all_sent;
}

void Share::add(const Sent& sent) {
    ++m_sent;
    m_served += sent.status == 200 ? 1 : 0;
    ++m_count_by_status[sent.status];
}

double Share::value() const {
    return m_sent == 0 ? 0.0 : static_cast<double>(m_served) / m_sent;
}

std::string Share::text() const {
    std::string line = std::to_string(m_served) + " of " + std::to_string(m_sent) + " served;";
    for (const auto& [status, count] : m_count_by_status) {
        line += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    return line;
}

int run_program(int argc, char** argv, int (*run_case)(const std::string& record_path)) {
    try {
        return run_case(argc > 1 ? argv[1] : "record.txt");
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return COULD_NOT_RUN;
    }
}

std::string request_text(const std::string& method, const std::string& id, int deadline_ms,
                         const std::string& page) {
    const std::string body = method == "POST" ? "stand=7" : "";
    std::string text = method + " " + ROUTE_PREFIX + page + " HTTP/1.1\r\nHost: " + ROUTE_HOST +
                       "\r\nX-Ebonymount-Request-Id: " + id +
                       "\r\nX-Ebonymount-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

}  // namespace review
