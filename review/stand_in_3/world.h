// Stand-ins for the systems around front nodes, for the cases 11 to 15: the platform's store,
// searchers, clients, and the front nodes themselves as processes. Everything listens on loopback
// addresses. Each connection has a thread.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the process started.
double now_ms();
void sleep_ms(std::int64_t milliseconds);

/// Appends lines to `record.txt`, each with the time.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    Record(Record&&) = delete;
    Record& operator=(Record&&) = delete;
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct Message {
    std::string method;
    std::string target;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    std::string header(const std::string& name) const;
};

/// Reads one message. False if the stream ends or the time passes before it is complete.
bool read_message(int socket, std::string& buffer, Message& message, std::int64_t timeout_ms);
bool send_all(int socket, const std::string& bytes);
std::string response_text(int status,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body);
int connect_to(const std::string& address, std::int64_t timeout_ms);

/// Ports that are free at all of the addresses.
std::vector<int> free_ports(const std::vector<std::string>& hosts, std::size_t count);

/// Accepts connections and calls the handler for each request; it returns the response, or an empty
/// text to close the connection.
class Server {
public:
    using Handler = std::function<std::string(const Message&)>;
    /// Port 0 lets the system choose. Throws std::runtime_error if the address is taken.
    Server(const std::string& host, int port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    Server(Server&&) = delete;
    Server& operator=(Server&&) = delete;
    std::string address() const;
    /// Ends the listener and all connections, as the end of a process does.
    void stop();

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
    std::string m_address;
};

/// The platform's store: lists, watches, creates, replaces, removes.
class Store {
public:
    explicit Store(const std::string& host);
    std::string address() const;

    /// Writes as the operator or a searcher does; the change is acknowledged on return. Returns its
    /// revision.
    std::int64_t put(const std::string& kind, const std::string& name, const Json& spec);
    std::int64_t remove(const std::string& kind, const std::string& name);

    /// Age of the data that reads with `allow_stale` return.
    void set_stale_by(std::int64_t milliseconds);
    /// While away, the store closes connections without an answer.
    void set_away(bool is_away);
    /// Keeps a copy of the present state.
    void take_copy();
    /// Comes back from that copy: what was written since is gone, and revisions go back.
    void restore_copy();
    std::int64_t revision() const;
    /// Number of objects of a kind.
    std::size_t count(const std::string& kind) const;
    std::int64_t reads(const std::string& kind) const;

private:
    struct Change {
        std::string kind;
        std::string name;
        std::int64_t revision = 0;
        Clock::time_point at;
        bool removed = false;
        Json spec;
    };
    std::string serve(const Message& request);
    std::string list(const std::string& kind, const std::map<std::string, std::string>& query);
    std::string watch(const std::string& kind, const std::map<std::string, std::string>& query);
    std::string write(const std::string& method, const std::string& kind, const std::string& name,
                      const Message& request);
    std::string answer(int status, const Json& body) const;
    std::int64_t append(const std::string& kind, const std::string& name, bool removed,
                        const Json& spec);
    std::size_t visible(bool stale) const;
    std::map<std::string, Change> objects_of(const std::string& kind, std::size_t changes) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Change> m_changes;
    std::int64_t m_revision = 1;
    std::int64_t m_era = 1;
    std::int64_t m_stale_ms = 0;
    bool m_away = false;
    std::vector<Change> m_copy;
    std::int64_t m_copy_revision = 1;
    std::map<std::string, std::int64_t> m_reads;
    std::unique_ptr<Server> m_server;
};

/// What a searcher has run.
struct Run {
    double at_ms = 0.0;
    std::string searcher;
    std::string service;
    std::string request_id;
    std::size_t body_bytes = 0;
};

/// All runs at all searchers.
class RunLog {
public:
    void add(const Run& run);
    std::vector<Run> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A sound searcher: it runs each request for a time, and answers with its signature and the
/// request's id.
class Searcher {
public:
    Searcher(const std::string& id, const std::string& service, const std::string& zone,
             std::int64_t work_ms, RunLog& runs);
    /// Its entry in the store.
    Json entry(const std::string& state) const;
    const std::string& id() const;
    /// The process ends: the address refuses connections.
    void exit();

private:
    std::string serve(const Message& request);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_work_ms;
    RunLog& m_runs;
    std::atomic<int> m_running{0};
    std::atomic<int> m_answers{0};
    std::int64_t m_born_ms;
    std::unique_ptr<Server> m_server;
};

/// The ports of all fronts of one deployment.
struct Ports {
    int front = 0;
    int ready = 0;
    int control = 0;
    int internal = 0;
};

struct FrontPlace {
    std::string node;
    std::string host;
    std::string zone;
    std::string region;
};

/// A front node as a process, started with the command of the deploy file.
class FrontProcess {
public:
    FrontProcess(FrontPlace place, const Ports& ports, const std::string& store_address,
                 const std::vector<FrontPlace>& all, const std::string& folder);
    ~FrontProcess();
    FrontProcess(const FrontProcess&) = delete;
    FrontProcess& operator=(const FrontProcess&) = delete;
    FrontProcess(FrontProcess&&) = delete;
    FrontProcess& operator=(FrontProcess&&) = delete;
    void start(bool bootstrap);
    void send_signal(int signal) const;
    /// True if the process has ended. Says how in `end`.
    bool has_ended(std::string& end);
    /// Ends the process and waits for it.
    void kill_and_wait();
    bool is_ready() const;
    std::string address() const;
    const FrontPlace& place() const;

private:
    FrontPlace m_place;
    Ports m_ports;
    std::string m_store_address;
    std::vector<FrontPlace> m_all;
    std::string m_folder;
    int m_pid = -1;
};

/// Waits until all are ready; false after the timeout.
bool wait_until_ready(const std::vector<std::unique_ptr<FrontProcess>>& fronts,
                      std::int64_t timeout_ms);

struct Answer {
    std::string request_id;
    std::string front;
    double sent_ms = 0.0;
    double answered_ms = 0.0;
    /// 0 if the connection ended or the time passed without an answer.
    int status = 0;
    std::string signature;
    std::string body;
};

/// Sends one request on a new connection.
Answer send_once(const std::string& front, const std::string& host, const std::string& method,
                 const std::string& path, const std::string& request_id, std::int64_t deadline_ms);

/// Clients that send requests one after the other, each on a kept connection.
class Clients {
public:
    struct Options {
        std::string host;
        std::string method = "GET";
        std::string path;
        std::int64_t deadline_ms = 1000;
        /// Pause between the answer and the next request of a client.
        std::int64_t pause_ms = 50;
    };
    explicit Clients(Options options);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;
    Clients(Clients&&) = delete;
    Clients& operator=(Clients&&) = delete;
    void start(const std::string& front, int count);
    void stop();
    std::vector<Answer> answers() const;

private:
    void work(const std::string& front, int number);

    Options m_options;
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::vector<Answer> m_answers;
    std::vector<std::thread> m_threads;
};

/// A configuration's row of a route that one service serves.
struct RouteRow {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string type = "idempotent";
    std::int64_t timeout_ms = 4000;
    std::int64_t target_latency_ms = 400;
    std::string service;
};

/// A whole configuration, with the limits of the site.
Json config(std::int64_t version, const std::vector<RouteRow>& routes,
            const std::vector<std::string>& services);

/// A temporary folder, removed at the end unless the variable KEEP_LOGS is set.
class Folder {
public:
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    Folder(Folder&&) = delete;
    Folder& operator=(Folder&&) = delete;
    const std::string& path() const;

private:
    std::string m_path;
};

/// The store, the front nodes and their places: one after the other in three zones, each of which
/// is a region.
class Deployment {
public:
    /// Throws std::runtime_error if no ports are free.
    explicit Deployment(std::size_t places);

    Store& store();
    RunLog& runs();
    const std::vector<std::unique_ptr<FrontProcess>>& fronts() const;
    /// Zone of the place.
    const std::string& zone(std::size_t place) const;
    /// A port for a searcher that keeps its address.
    int searcher_port(std::size_t number) const;

    /// Starts fronts at the next places and waits until all are ready; false if they are not.
    bool start_fronts(std::size_t count, bool bootstrap);

private:
    std::vector<FrontPlace> m_places;
    std::vector<int> m_free_ports;
    Ports m_ports;
    Folder m_folder;
    RunLog m_runs;
    Store m_store;
    std::vector<std::unique_ptr<FrontProcess>> m_fronts;
};

/// Runs a case and returns the exit code of its script: what `play` returns, or 2 after an
/// exception or without the path of the record.
int run_case(int argc, char** argv, int (*play)(Record& record));

/// False if the variable TROUBLE is 0.
bool has_trouble();

}  // namespace world
