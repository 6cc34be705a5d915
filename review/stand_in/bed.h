// A small deployment on loopback addresses for the cases of this review: the platform's store, the
// searchers, the balancer's view of the nodes, clients, and real `ebonymount_front` processes.
//
// The stand-ins are threads of the case's program; the nodes are separate processes, started with
// the command of the deploy file. The stand-ins behave soundly, as the users' pages describe, and
// record what they see.
#pragma once

#include <sys/types.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int RULE_HELD = 0;
constexpr int RULE_BROKEN = 1;
constexpr int COULD_NOT_RUN = 2;

/// Milliseconds since the case started.
std::int64_t now_ms();

/// Sleeps until `at_ms` on the scale of `now_ms`.
void sleep_until_ms(std::int64_t at_ms);

/// True unless the variable TROUBLE is 0.
bool has_trouble();

/// A port that is free on the address at the moment.
int free_port(const std::string& ip);

/// Lines with a time, in the order in which they are added, for `record.txt`.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A parsed HTTP message; header names are in lower case.
struct Message {
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    /// The value of a header by its lower-case name; empty if there is none.
    std::string header(const std::string& name) const;
    /// The path and query of a request.
    std::string path() const;
    /// The status of a response; 0 if it has none.
    int status() const;
};

/// A TCP connection with a buffer, blocking.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Connection(Connection&&) = delete;
    Connection& operator=(Connection&&) = delete;

    /// Connects within `timeout`; null if the address does not accept.
    static std::unique_ptr<Connection> open(const std::string& ip, int port, Milliseconds timeout);

    /// False if the peer has closed or reset the connection.
    bool send(const std::string& bytes) const;
    /// Reads a message with a Content-Length or without a body; empty when the connection ends
    /// first, or after `timeout`.
    std::optional<Message> read(Milliseconds timeout);
    /// True if the last `read` ended because the peer closed or reset the connection.
    bool has_ended() const;
    /// True if the peer has closed the connection and nothing is left to read.
    bool is_closed_by_peer() const;
    void shutdown() const;

private:
    std::optional<Message> take_message();

    int m_descriptor;
    std::string m_buffer;
    bool m_ended = false;
};

/// Accepts connections and runs `serve` in a thread for each.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    /// Listens on `port`, or on a free one if it is 0.
    Server(const std::string& ip, int port, Handler serve);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    Server(Server&&) = delete;
    Server& operator=(Server&&) = delete;
    int port() const;

private:
    void accept_connections();

    int m_port = 0;
    int m_listener = -1;
    Handler m_serve;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Encodes a response; adds Content-Length.
std::string encode_response(int status, const std::vector<std::string>& header_lines,
                            const std::string& body);

/// The platform's store: lists, watches, and writes with the conditions of the pages.
class Store {
public:
    explicit Store(const std::string& ip);
    int port() const;
    /// Writes an object as the operator or a searcher does; acknowledged on return.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// The same, for an entry of another writer: `mark` is replaced by `text` wherever the object
    /// is sent.
    void put_text(const std::string& kind, const std::string& name, const nlohmann::json& spec,
                  const std::string& mark, const std::string& text);

private:
    struct Event {
        std::int64_t revision = 0;
        std::string kind;
        bool deleted = false;
        nlohmann::json object;
    };

    void serve(Connection& connection);
    std::string respond(const Message& request);
    std::string list(const std::string& kind, const std::string& query);
    std::string watch(const std::string& kind, const std::string& query);
    std::string write(const std::string& method, const std::string& kind, const std::string& name,
                      const std::string& body);
    nlohmann::json change(const std::string& kind, const std::string& name,
                          const nlohmann::json& spec, bool deleted);
    std::string text_of(const nlohmann::json& body) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Event> m_events;
    std::string m_mark;
    std::string m_text;
    std::unique_ptr<Server> m_server;
};

/// Parameters of one searcher.
struct SearcherParameters {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 2;
    int queue = 8;
    Milliseconds work{90};
};

/// One searcher: slots, a queue, refusals with `X-Ebonymount-Not-Executed`.
class Searcher {
public:
    Searcher(SearcherParameters parameters, const std::string& ip, Record& record);
    const SearcherParameters& parameters() const;
    int port() const;
    /// Closes all connections and refuses new ones, as a process that has crashed.
    void crash();
    /// Listens again on the same port, as a new process; it knows nothing of before.
    void restart();
    /// The entry that the searcher writes to the store.
    nlohmann::json entry() const;
    /// Number of runs of each request id.
    std::map<std::string, int> runs() const;
    /// Arrivals of each request id, run or not.
    std::map<std::string, int> arrivals() const;

private:
    void serve(Connection& connection);
    std::string handle(const Message& request, const Connection& connection);
    std::string refuse(int status, const std::string& request_id) const;
    void listen(int port);

    SearcherParameters m_parameters;
    std::string m_ip;
    int m_port = 0;
    /// Unix time of the start, in milliseconds.
    std::int64_t m_started_at_ms = 0;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_slot_freed;
    int m_running = 0;
    int m_queued = 0;
    std::int64_t m_answers = 0;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_arrivals;
    std::unique_ptr<Server> m_server;
};

/// One node: a process of `target/ebonymount_front` with its settings file.
class Node {
public:
    /// Writes the settings and starts the process. Throws std::runtime_error if it cannot.
    Node(const std::string& name, const std::string& ip, int store_port,
         const std::string& directory, const std::string& zone);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    Node(Node&&) = delete;
    Node& operator=(Node&&) = delete;

    const std::string& name() const;
    const std::string& ip() const;
    int port() const;
    /// True if the readiness call is answered with 200.
    bool is_ready() const;
    /// Sends a signal to the process, unless it has ended.
    void signal(int number);
    /// True once the process has ended.
    bool has_ended();
    /// How the process ended: its exit code or its signal.
    std::string end_text() const;
    /// Starts the process again after it has ended, with the same settings.
    void restart();

private:
    void start();

    std::string m_name;
    std::string m_ip;
    int m_front_port = 0;
    int m_ready_port = 0;
    std::string m_settings;
    std::string m_log;
    std::mutex m_mutex;
    pid_t m_process = -1;
    bool m_ended = false;
    int m_status = 0;
};

/// A temporary folder, removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    TemporaryFolder(TemporaryFolder&&) = delete;
    TemporaryFolder& operator=(TemporaryFolder&&) = delete;
    const std::string& path() const;

private:
    std::string m_path;
};

/// A configuration with one route to one service.
struct RouteParameters {
    std::string type = "idempotent";
    int timeout_ms = 4000;
    int target_latency_ms = 400;
    int max_attempts = 2;
    /// The service's limit of connections for each searcher.
    int max_connections = 45;
};

/// Parameters of a deployment with one zone and one service.
struct DeploymentParameters {
    SearcherParameters searcher;
    int searchers = 14;
    int nodes = 3;
    RouteParameters route;
};

/// The store, the searchers and the nodes of one zone.
class Deployment {
public:
    /// Starts all parts. Throws std::runtime_error if one cannot be started, or if the nodes do not
    /// become ready.
    Deployment(const std::string& record_path, const DeploymentParameters& parameters);

    Record& record();
    Store& store();
    const std::vector<std::unique_ptr<Searcher>>& searchers() const;
    const std::vector<std::unique_ptr<Node>>& nodes() const;
    /// The first searcher at which a request with the id arrived; null if there is none.
    const Searcher* searcher_reached_by(const std::string& id) const;
    /// Kills all nodes, and starts them again after `down`.
    void kill_nodes(Milliseconds down);

private:
    Record m_record;
    TemporaryFolder m_folder;
    Store m_store;
    std::vector<std::unique_ptr<Searcher>> m_searchers;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

/// One request as a client saw it. Status 0 means that no complete answer came.
struct Sent {
    std::string id;
    std::size_t node = 0;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
    int status = 0;
    /// The connection closed or was reset before a complete answer.
    bool was_cut = false;
    /// The connection had served a request before.
    bool is_kept = false;
};

/// Sends a request on a connection and waits for the answer; records both. Sets `sent_ms` and the
/// fields after it but `is_kept`.
std::optional<Message> ask(Connection& connection, const std::string& request, int deadline_ms,
                           Sent& sent, Record& record);

/// Open-loop traffic: GET requests at a constant rate, each on a new connection.
struct OpenLoop {
    int per_second = 60;
    std::int64_t length_ms = 10000;
    int deadline_ms = 5000;
    /// The node for the n-th request, and the page that it asks for.
    std::function<std::size_t(std::int64_t)> choose_node;
    std::function<std::string(std::int64_t)> choose_page;
};

/// Runs the traffic from now on, and returns all requests once they have ended.
std::vector<Sent> run_open_loop(Deployment& deployment, const OpenLoop& loop);

/// How many of some requests were served.
class Share {
public:
    void add(const Sent& sent);
    double value() const;
    /// The counts by status.
    std::string text() const;

private:
    int m_sent = 0;
    int m_served = 0;
    std::map<int, int> m_count_by_status;
};

/// Runs a case with the path of its record, the program's argument; returns the exit code.
int run_program(int argc, char** argv, int (*run_case)(const std::string& record_path));

/// A client's request on the route, for the page that follows the route's prefix.
std::string request_text(const std::string& method, const std::string& id, int deadline_ms,
                         const std::string& page = "2f");

}  // namespace review
