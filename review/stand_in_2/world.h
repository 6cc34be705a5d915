// Stand-ins for the review's scripts: the platform's store, its readiness checks and its starting
// of processes, searchers, and clients with kept connections. All of them speak the published
// protocol on loopback addresses. One thread serves each connection; there is no other concurrency
// model.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point START = Clock::now();

/// Milliseconds since the script began.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - START).count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Lines of record.txt, one an event.
class Record {
public:
    explicit Record(const std::string& path) : m_file(path) {}
    void write(const std::string& line) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << now_ms() << " " << line << "\n";
    }
    void flush() {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline double uniform() {
    thread_local std::mt19937_64 generator(std::random_device{}());
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

inline std::string random_hex(int digits) {
    std::string text;
    for (int i = 0; i < digits; ++i) {
        text += "0123456789abcdef"[static_cast<int>(uniform() * 16.0) % 16];
    }
    return text;
}

// ---- sockets -------------------------------------------------------------------------------

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Opens a listening socket; port 0 lets the system choose. Returns -1 if the address is taken.
inline int listen_on(const std::string& ip, int port, int& bound_port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = address_of(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t length = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    bound_port = ntohs(address.sin_port);
    return fd;
}

inline int free_port(const std::string& ip) {
    int port = 0;
    const int fd = listen_on(ip, 0, port);
    if (fd >= 0) {
        close(fd);
    }
    return port;
}

/// Connects within a second, as clients do; -1 if that fails.
inline int connect_to(const std::string& ip, int port, int timeout_ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = address_of(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, timeout_ms) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// ---- messages ------------------------------------------------------------------------------

inline bool same_text(const std::string& left, const std::string& right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](unsigned char a, unsigned char b) { return tolower(a) == tolower(b); });
}

struct Message {
    std::string first;
    std::string second;
    std::string third;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (same_text(key, name)) {
                return value;
            }
        }
        return "";
    }
};

enum class Reading { complete, ended, broken, timed_out };

/// Reads one message from a stream; bytes of the next one stay in `buffer`. A response without a
/// length ends with its connection.
class Reader {
public:
    explicit Reader(int fd) : m_fd(fd) {}

    /// `wait_ms` below 0 waits without end.
    Reading read(Message& message, bool is_response, std::int64_t wait_ms = -1) {
        const std::int64_t until = wait_ms < 0 ? -1 : now_ms() + wait_ms;
        std::size_t end = std::string::npos;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            const Reading more = fill(until);
            if (more != Reading::complete) {
                return more == Reading::ended && !buffer.empty() ? Reading::broken : more;
            }
        }
        std::istringstream head(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        message = Message{};
        std::string line;
        std::getline(head, line);
        std::istringstream start(line);
        start >> message.first >> message.second >> message.third;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return Reading::broken;
            }
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        if (same_text(message.header("Transfer-Encoding"), "chunked")) {
            return read_chunks(message, until);
        }
        const std::string length = message.header("Content-Length");
        if (length.empty()) {
            return is_response ? read_to_end(message, until) : Reading::complete;
        }
        const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
        const Reading reading = need(size, until);
        if (reading != Reading::complete) {
            return reading == Reading::ended ? Reading::broken : reading;
        }
        message.body = buffer.substr(0, size);
        buffer.erase(0, size);
        return Reading::complete;
    }

    std::string buffer;

private:
    Reading fill(std::int64_t until) {
        const int wait =
            until < 0 ? -1 : static_cast<int>(std::max<std::int64_t>(0, until - now_ms()));
        pollfd waiting{m_fd, POLLIN, 0};
        const int ready = poll(&waiting, 1, wait);
        if (ready == 0) {
            return Reading::timed_out;
        }
        char chunk[16384];
        const ssize_t count = recv(m_fd, chunk, sizeof(chunk), 0);
        if (count < 0) {
            return Reading::broken;
        }
        if (count == 0) {
            return Reading::ended;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
        return Reading::complete;
    }
    Reading need(std::size_t size, std::int64_t until) {
        while (buffer.size() < size) {
            const Reading more = fill(until);
            if (more != Reading::complete) {
                return more;
            }
        }
        return Reading::complete;
    }
    Reading read_to_end(Message& message, std::int64_t until) {
        Reading more = Reading::complete;
        while (more == Reading::complete) {
            more = fill(until);
        }
        message.body.swap(buffer);
        return more == Reading::ended ? Reading::complete : more;
    }
    Reading read_chunks(Message& message, std::int64_t until) {
        while (true) {
            std::size_t end = std::string::npos;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (fill(until) != Reading::complete) {
                    return Reading::broken;
                }
            }
            const std::size_t size = std::strtoull(buffer.c_str(), nullptr, 16);
            buffer.erase(0, end + 2);
            if (need(size + 2, until) != Reading::complete) {
                return Reading::broken;
            }
            message.body += buffer.substr(0, size);
            buffer.erase(0, size + 2);
            if (size == 0) {
                return Reading::complete;
            }
        }
    }

    int m_fd;
};

inline std::string response_text(int status,
                                 const std::vector<std::pair<std::string, std::string>>& headers,
                                 const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- a server with a thread a connection ---------------------------------------------------

class Server {
public:
    using Handler = std::function<void(int fd)>;

    /// False if the address is taken.
    bool open(const std::string& ip, int port, Handler handler) {
        m_ip = ip;
        m_listener = listen_on(ip, port, m_port);
        if (m_listener < 0) {
            return false;
        }
        m_handler = std::move(handler);
        m_acceptor = std::thread([this] { accept_all(); });
        return true;
    }

    /// Stops to accept, breaks all connections off and waits for their threads.
    void close_all() {
        if (m_listener < 0) {
            return;
        }
        m_closing = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        m_listener = -1;
        std::unique_lock<std::mutex> lock(m_mutex);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
        m_none_left.wait_for(lock, std::chrono::seconds(10), [this] { return m_open.empty(); });
    }

    std::string address() const {
        return m_ip + ":" + std::to_string(m_port);
    }
    bool is_closing() const {
        return m_closing;
    }

private:
    void accept_all() {
        while (true) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_closing) {
                    return;
                }
                sleep_ms(1);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_handler(fd);
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.erase(fd);
                close(fd);
                m_none_left.notify_all();
            }).detach();
        }
    }

    std::string m_ip;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_closing{false};
    Handler m_handler;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::condition_variable m_none_left;
    std::set<int> m_open;
};

// ---- the platform's store ------------------------------------------------------------------

class Store {
public:
    bool open(const std::string& ip) {
        return m_server.open(ip, 0, [this](int fd) { serve(fd); });
    }
    void close_all() {
        m_changed.notify_all();
        m_server.close_all();
    }
    std::string address() const {
        return m_server.address();
    }
    /// While it is busy, the store answers 503 to every call, also to watches that wait, and does
    /// nothing.
    void set_busy(bool busy) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_busy = busy;
        m_changed.notify_all();
    }

    /// A write of the operator or of a searcher; acknowledged on return.
    void put(const std::string& kind, const std::string& name, const Json& spec) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Json& object = m_objects[kind][name];
        if (!object.is_null() && object["spec"] == spec) {
            return;
        }
        const std::int64_t created =
            object.is_null() ? m_revision + 1 : object["meta"]["create_rev"].get<std::int64_t>();
        object = {{"meta",
                   {{"name", name},
                    {"revision", ++m_revision},
                    {"create_rev", created},
                    {"finalizers", Json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
        note(kind, object, false);
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        remove_locked(kind, name);
    }

private:
    struct Change {
        std::string kind;
        std::int64_t revision = 0;
        Json event;
    };

    void note(const std::string& kind, const Json& object, bool deleted) {
        m_changes.push_back({kind, m_revision, {{"object", object}, {"deleted", deleted}}});
        m_changed.notify_all();
    }
    bool remove_locked(const std::string& kind, const std::string& name) {
        std::map<std::string, Json>& objects = m_objects[kind];
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return false;
        }
        Json object = found->second;
        objects.erase(found);
        object["meta"]["revision"] = ++m_revision;
        note(kind, object, true);
        return true;
    }
    static std::string decode(const std::string& text) {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded +=
                    static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }

    void serve(int fd) {
        Reader reader(fd);
        Message request;
        while (reader.read(request, false) == Reading::complete) {
            sleep_ms(4);
            const std::size_t mark = request.second.find('?');
            const std::string path = request.second.substr(0, mark);
            std::map<std::string, std::string> query;
            std::istringstream parts(mark == std::string::npos ? ""
                                                               : request.second.substr(mark + 1));
            for (std::string part; std::getline(parts, part, '&');) {
                const std::size_t equals = part.find('=');
                query[part.substr(0, equals)] =
                    equals == std::string::npos ? "" : decode(part.substr(equals + 1));
            }
            const std::string prefix = "/ebonymount/objects/";
            int status = 404;
            Json body = Json::object();
            if (path.rfind(prefix, 0) == 0) {
                std::string kind = path.substr(prefix.size());
                std::string name;
                const std::size_t slash = kind.find('/');
                if (slash != std::string::npos) {
                    name = decode(kind.substr(slash + 1));
                    kind.erase(slash);
                }
                status = call(request, kind, name, query, body);
            }
            if (!send_all(fd, response_text(status, {{"Content-Type", "application/json"}},
                                            body.dump()))) {
                return;
            }
        }
    }

    int call(const Message& request, const std::string& kind, const std::string& name,
             const std::map<std::string, std::string>& query, Json& body) {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_busy) {
            return 503;
        }
        if (request.first == "GET" && query.count("watch") > 0) {
            const std::int64_t after = std::atoll(query.at("watch").c_str());
            const std::int64_t wait =
                query.count("wait_ms") > 0 ? std::atoll(query.at("wait_ms").c_str()) : 0;
            const Clock::time_point until = Clock::now() + milliseconds(wait);
            body = {{"events", Json::array()}, {"store_revision", m_revision}};
            while (!collect(kind, after, body["events"]) && !m_server.is_closing() && !m_busy) {
                if (m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    collect(kind, after, body["events"]);
                    break;
                }
            }
            if (m_busy) {
                body = Json::object();
                return 503;
            }
            body["store_revision"] = m_revision;
            return 200;
        }
        std::map<std::string, Json>& objects = m_objects[kind];
        if (request.first == "GET" && !name.empty()) {
            const auto found = objects.find(name);
            body = found == objects.end() ? Json::object() : found->second;
            return found == objects.end() ? 404 : 200;
        }
        if (request.first == "GET") {
            constexpr std::size_t PAGE = 500;
            body = {{"items", Json::array()}, {"has_more", false}, {"store_revision", m_revision}};
            const auto after = query.find("after");
            for (auto object = after == query.end() ? objects.begin()
                                                    : objects.upper_bound(after->second);
                 object != objects.end(); ++object) {
                if (body["items"].size() == PAGE) {
                    body["has_more"] = true;
                    break;
                }
                body["items"].push_back(object->second);
            }
            return 200;
        }
        if (request.first == "DELETE") {
            return remove_locked(kind, name) ? 200 : 404;
        }
        const Json sent = Json::parse(request.body, nullptr, false);
        if (!sent.is_object() || !sent.contains("meta")) {
            return 400;
        }
        const std::string target = name.empty() ? sent["meta"].value("name", "") : name;
        const auto found = objects.find(target);
        const bool creates = request.first == "POST";
        if (creates != (found == objects.end())) {
            body = creates ? found->second : Json::object();
            return creates ? 409 : 404;
        }
        const Json spec = sent.value("spec", Json());
        if (!creates && found->second["spec"] == spec) {
            body = found->second;
            return 200;
        }
        const std::int64_t created =
            creates ? m_revision + 1 : found->second["meta"]["create_rev"].get<std::int64_t>();
        objects[target] = {{"meta",
                            {{"name", target},
                             {"revision", ++m_revision},
                             {"create_rev", created},
                             {"finalizers", Json::array()},
                             {"deleting", false}}},
                           {"spec", spec},
                           {"status", nullptr}};
        body = objects[target];
        note(kind, body, false);
        return creates ? 201 : 200;
    }
    bool collect(const std::string& kind, std::int64_t after, Json& events) const {
        for (const Change& change : m_changes) {
            if (change.kind == kind && change.revision > after) {
                events.push_back(change.event);
            }
        }
        return !events.empty();
    }

    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_busy = false;
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<Change> m_changes;
};

// ---- searchers -----------------------------------------------------------------------------

/// A searcher with slots and a queue. `answer` may change the bytes that leave; all else is sound.
class Searcher {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        int slots = 2;
        int queue = 8;
        int connections = 96;
        /// Mean time of a run.
        double work_ms = 15.0;
        /// Body of an answer.
        std::function<std::string()> body;
        /// Header that says how long the searcher is busy: none by default.
        bool tells_load = true;
    };
    /// What goes out on a connection in answer to one request. `text` is the sound answer.
    struct Answer {
        std::string request_id;
        bool ran = false;
        std::string text;
    };
    /// State of one connection, for faults that belong to it.
    struct Link {
        std::string late_copy;
        std::string late_copy_of;
    };
    /// Called before a request is looked at; true ends the connection.
    std::function<bool(int fd, Link& link, const Message& request)> before;
    /// Called with the sound answer; returns the bytes to send.
    std::function<std::string(Link& link, const Answer& answer)> spoil;
    /// A request began to run here.
    std::function<void(const Searcher&, const Message& request)> on_run;
    /// A request was turned away.
    std::function<void(const Searcher&, const Message& request, int status)> on_refusal;

    explicit Searcher(const Options& options) : m_options(options) {}

    bool open() {
        return m_server.open(m_options.ip, 0, [this](int fd) { serve(fd); });
    }
    void close_all() {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closing = true;
            m_free.notify_all();
        }
        m_server.close_all();
    }
    /// Ends as a crashing process does: its connections end, and nothing listens any more.
    void crash() {
        m_server.close_all();
    }
    const Options& options() const {
        return m_options;
    }
    Json entry() {
        return {{"service", m_options.service},
                {"address", m_server.address()},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"max_concurrency", m_options.slots},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", ++m_sequence},
                {"born", m_born}};
    }

private:
    void serve(int fd) {
        if (++m_connections > m_options.connections) {
            --m_connections;
            const linger reset{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            return;
        }
        Reader reader(fd);
        Link link;
        Message request;
        while (reader.read(request, false) == Reading::complete) {
            if (before && before(fd, link, request)) {
                break;
            }
            const Answer answer = handle(request);
            const std::string bytes = spoil ? spoil(link, answer) : answer.text;
            if (!send_all(fd, bytes)) {
                break;
            }
        }
        --m_connections;
    }

    std::string load() const {
        return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
               std::to_string(m_options.slots);
    }

    Answer refuse(const Message& request, int status) {
        if (on_refusal) {
            on_refusal(*this, request, status);
        }
        const std::string id = request.header("X-Ebonymount-Request-Id");
        return {id, false,
                response_text(status,
                              {{"X-Ebonymount-Request-Id", id},
                               {"X-Ebonymount-Instance-Id", m_options.id},
                               {"X-Ebonymount-Not-Executed", "1"}},
                              "")};
    }

    Answer handle(const Message& request) {
        const std::string id = request.header("X-Ebonymount-Request-Id");
        const std::string expected = request.header("X-Ebonymount-Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            return refuse(request, 421);
        }
        if (id.empty()) {
            return refuse(request, 400);
        }
        const std::string deadline = request.header("X-Ebonymount-Deadline-Ms");
        const std::int64_t until =
            now_ms() + (deadline.empty() ? 60000 : std::atoll(deadline.c_str()));
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
            lock.unlock();
            return refuse(request, 503);
        }
        ++m_waiting;
        m_free.wait(lock, [this] { return m_closing || m_running < m_options.slots; });
        --m_waiting;
        if (now_ms() >= until || m_closing) {
            m_free.notify_one();
            lock.unlock();
            return refuse(request, 503);
        }
        ++m_running;
        lock.unlock();
        if (on_run) {
            on_run(*this, request);
        }
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(m_options.work_ms * (0.6 + 0.8 * uniform())));
        lock.lock();
        --m_running;
        m_free.notify_one();
        std::vector<std::pair<std::string, std::string>> headers = {
            {"X-Ebonymount-Request-Id", id},
            {"X-Ebonymount-Server-Stamp",
             m_options.id + ".07." + std::to_string(++m_answers) + ".600.0." + random_hex(8)}};
        if (m_options.tells_load) {
            headers.emplace_back("X-Ebonymount-Server-Load", load());
        }
        lock.unlock();
        return {id, true, response_text(200, headers, m_options.body())};
    }

    Options m_options;
    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    int m_waiting = 0;
    std::atomic<int> m_connections{0};
    std::int64_t m_answers = 0;
    std::int64_t m_sequence = 0;
    const std::int64_t m_born = std::chrono::duration_cast<milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
    bool m_closing = false;
};

// ---- the front's processes and the platform around them --------------------------------------

/// One machine with one front process, started and started again as the platform does it.
class Machine {
public:
    struct Options {
        std::string program;
        std::string directory;
        std::string name;
        std::string ip;
        std::string zone;
        std::string region;
        std::string zones;
        std::string store;
    };

    explicit Machine(const Options& options)
        : m_options(options),
          m_front(free_port(options.ip)),
          m_ready(free_port(options.ip)),
          m_control(free_port(options.ip)) {}

    std::string control_address() const {
        return m_options.ip + ":" + std::to_string(m_control);
    }
    const std::string& ip() const {
        return m_options.ip;
    }
    int front_port() const {
        return m_front;
    }
    const std::string& name() const {
        return m_options.name;
    }

    void write_settings(const std::string& seeds, bool first_start) const {
        std::ofstream file(settings_file());
        const std::string& ip = m_options.ip;
        file << "node=" << m_options.name << "\nrole=front\nmachine_class=front\n"
             << "serves=front,control_plane\nip=" << ip << "\nzone=" << m_options.zone
             << "\nregion=" << m_options.region << "\n"
             << m_options.zones << "bind_addresses.front=" << ip << ":" << m_front
             << "\nbind_addresses.ready=" << ip << ":" << m_ready
             << "\nbind_addresses.control=" << ip << ":" << m_control << "\nseeds=" << seeds
             << "\nbootstrap=" << (first_start ? "true" : "false")
             << "\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n"
                "limits.memory_mb=260\nlimits.max_open_files=4100\nlimits.link_mbps=1000.0\n"
                "limits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n"
                "contracts=base,drain,config,cost,retry,recover,scatter,places,platform\n"
                "fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n"
                "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n"
                "bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\n"
                "bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
                "bounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=12000\n"
                "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
                "bounds.budget_slack=52\nbounds.cold_over=1.5\nbounds.cold_slack=5\n"
                "bounds.evacuate_ms=5000\nbounds.recovery_s=12\nplatform.address="
             << m_options.store
             << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
                "platform.reads_per_s=2000\nplatform.history_s=20\n"
                "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    }

    void start() {
        const std::string log = m_options.directory + "/" + m_options.name + ".log";
        const std::string variable = "EBONYMOUNT_BOOT=" + settings_file();
        const pid_t child = fork();
        if (child == 0) {
            // The process ends with the script, also if that is ended from outside.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            char* const arguments[] = {const_cast<char*>(m_options.program.c_str()), nullptr};
            char* const environment[] = {const_cast<char*>(variable.c_str()),
                                         const_cast<char*>("PATH=/usr/bin:/bin"), nullptr};
            execve(m_options.program.c_str(), arguments, environment);
            _exit(127);
        }
        m_process = child;
    }

    /// True if the process has ended since the last look; `status` is what wait gives.
    bool poll_end(int& status) {
        if (m_process > 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
            m_process = 0;
            return true;
        }
        return false;
    }
    bool runs() const {
        return m_process > 0;
    }
    void signal(int number) const {
        if (m_process > 0) {
            kill(m_process, number);
        }
    }
    pid_t process() const {
        return m_process;
    }

    /// One readiness question, as the platform asks it.
    bool is_ready() const {
        const int fd = connect_to(m_options.ip, m_ready, 500);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /ebonymount/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool ok =
            reader.read(answer, true, 500) == Reading::complete && answer.second == "200";
        close(fd);
        return ok;
    }

    void stop() {
        if (m_process > 0) {
            kill(m_process, SIGKILL);
            int status = 0;
            waitpid(m_process, &status, 0);
            m_process = 0;
        }
    }

private:
    std::string settings_file() const {
        return m_options.directory + "/" + m_options.name + ".conf";
    }

    Options m_options;
    int m_front;
    int m_ready;
    int m_control;
    std::atomic<pid_t> m_process{0};
};

/// A folder of its own for settings and logs; removed at the end unless KEEP is set.
class TemporaryFolder {
public:
    TemporaryFolder() {
        const char* base = std::getenv("TMPDIR");
        std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-2-XXXXXX";
        m_path = mkdtemp(pattern.data()) == nullptr ? "" : pattern;
    }
    ~TemporaryFolder() {
        if (std::getenv("KEEP") == nullptr && !m_path.empty()) {
            const std::string command = "rm -rf '" + m_path + "'";
            if (std::system(command.c_str()) != 0) {
                std::cerr << "cannot remove " << m_path << "\n";
            }
        }
    }
    const std::string& path() const {
        return m_path;
    }

private:
    std::string m_path;
};

inline bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace world
