// Some searchers spoil a few of their answers: bytes that are no answer come in the head, and the
// head ends. Checks LOST and Fault as clients, searchers and the platform see them.
#include <cmath>

#include "../stand_in_2/world.h"

using namespace world;

namespace {

constexpr const char* ZONES[] = {"lowlands-a", "highlands-a", "borders-a"};
constexpr const char* REGIONS[] = {"lowlands", "highlands", "borders"};
constexpr const char* HOST = "leno12.example";
constexpr const char* FAN_OUT_PREFIX = "/rany330/";
constexpr const char* SINGLE_PREFIX = "/goka902/";
constexpr int SHARDS = 10;

/// The dose of `garble` in the site file: a share of 0.35, here one searcher of three in each shard
/// (`across`), 2 % of their answers, for 5.5 s.
constexpr double SPOILED_SHARE = 0.02;
constexpr std::int64_t FIRST_SPELL_MS = 12000;
constexpr std::int64_t SPELL_MS = 5500;
constexpr std::int64_t SPELL_EVERY_MS = 11000;

constexpr std::int64_t TRAFFIC_FROM_MS = 5000;
constexpr std::int64_t TRAFFIC_UNTIL_MS = 45000;
constexpr std::int64_t DEADLINE_MS = 1200;

/// How long the platform takes to start a process again.
constexpr std::int64_t RESTART_MS = 300;

constexpr int CLIENTS = 60;
constexpr double REQUESTS_PER_SECOND = 180.0;

/// A process that ends by itself three times, on a tenth of the machines in use and on two of them
/// at least, is a fault of the day.
constexpr int FAULT_ENDS = 3;
constexpr int FAULT_MACHINES = 2;

/// LOST is broken by more than three requests.
constexpr int ALLOWED_LOST = 3;

struct Seen {
    /// At searchers that spoil no answer.
    int runs = 0;
    int answer = 0;
    bool kept_connection = false;
};

std::mutex seen_mutex;
std::map<std::string, Seen> seen;

bool is_spell() {
    const std::int64_t now = now_ms();
    return has_trouble() && now >= FIRST_SPELL_MS && now < TRAFFIC_UNTIL_MS &&
           (now - FIRST_SPELL_MS) % SPELL_EVERY_MS < SPELL_MS;
}

/// An answer of which bytes in the head are spoiled; the head is shorter than 64 KiB.
std::string spoiled_head(const std::string& request_id) {
    constexpr std::size_t SPOILED_BYTES = 65390;
    return "HTTP/1.1 200 X\r\nX-Ebonymount-Request-Id: " + request_id +
           "\r\nX-Ebonymount-Server-Stamp: " + std::string(SPOILED_BYTES, 'f') +
           "\r\nContent-Length: 16\r\n\r\n0123456789abcdef";
}

/// An answer in chunks that ends in bytes that are no trailer.
std::string spoiled_trailer(const std::string& request_id) {
    constexpr std::size_t SPOILED_BYTES = 70000;
    return "HTTP/1.1 200 X\r\nX-Ebonymount-Request-Id: " + request_id +
           "\r\nX-Ebonymount-Server-Stamp: " + random_hex(20) +
           "\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\nf: " +
           std::string(SPOILED_BYTES, 'f') + "\r\n\r\n";
}

void run_client(const std::vector<std::unique_ptr<Machine>>& machines, int number,
                const std::string& prefix, Record& record) {
    std::size_t at = static_cast<std::size_t>(number) % machines.size();
    int fd = -1;
    bool is_kept = false;
    std::unique_ptr<Reader> reader;
    const double pause_ms = 1000.0 * CLIENTS / REQUESTS_PER_SECOND;
    sleep_ms(TRAFFIC_FROM_MS - now_ms());
    double next = static_cast<double>(now_ms()) + uniform() * pause_ms;
    while (now_ms() < TRAFFIC_UNTIL_MS) {
        sleep_ms(std::max<std::int64_t>(0, static_cast<std::int64_t>(next) - now_ms()));
        next = std::max(next - std::log(1.0 - uniform()) * pause_ms,
                        static_cast<double>(now_ms()) - 200.0);
        // One retry on a new connection to another node, as idempotent requests are retried.
        for (int attempt = 0; attempt < 2; ++attempt) {
            if (fd < 0) {
                fd = connect_to(machines[at]->ip(), machines[at]->front_port());
                if (fd < 0) {
                    at = (at + 1) % machines.size();
                    continue;
                }
                reader = std::make_unique<Reader>(fd);
                is_kept = false;
            }
            const std::string id = random_hex(16);
            {
                const std::lock_guard<std::mutex> lock(seen_mutex);
                seen[id].kept_connection = is_kept;
            }
            record.write("sent " + id + " " + machines[at]->name() +
                         (is_kept ? " on a kept connection" : ""));
            Message answer;
            const bool sent =
                send_all(fd, "GET " + prefix + "2f HTTP/1.1\r\nHost: " + HOST +
                                 "\r\nX-Ebonymount-Request-Id: " + id +
                                 "\r\nX-Ebonymount-Deadline-Ms: " + std::to_string(DEADLINE_MS) +
                                 "\r\n\r\n");
            const Reading reading =
                sent ? reader->read(answer, true, DEADLINE_MS + 500) : Reading::broken;
            const bool is_closed = reading == Reading::ended || reading == Reading::broken;
            const int status = reading == Reading::complete ? std::atoi(answer.second.c_str())
                               : is_closed                  ? -1
                                                            : -2;
            record.write("answered " + id + " " +
                         (status == -1   ? "connection closed"
                          : status == -2 ? "nothing"
                                         : std::to_string(status)));
            {
                const std::lock_guard<std::mutex> lock(seen_mutex);
                seen[id].answer = status;
            }
            is_kept = true;
            if (status < 0 || same_text(answer.header("Connection"), "close")) {
                close(fd);
                fd = -1;
            }
            if (status >= 200 && status < 300) {
                break;
            }
            if (fd >= 0) {
                close(fd);
                fd = -1;
            }
            at = (at + 1) % machines.size();
        }
    }
    if (fd >= 0) {
        close(fd);
    }
}

}  // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        return 2;
    }
    const bool spoils_trailer = argc > 3 && std::string(argv[3]) == "trailer";
    Record record(argv[2]);
    const TemporaryFolder folder;
    Store store;
    if (!store.open("127.0.0.1")) {
        return 2;
    }
    std::vector<std::string> shards;
    Json services = Json::array();
    for (int i = 0; i <= SHARDS; ++i) {
        shards.push_back("s" + std::to_string(i) + random_hex(4));
        services.push_back({{"name", shards.back()},
                            {"health_path", "/health"},
                            {"max_connections", 25},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"cold_start_s", 3.0},
                            {"cold_per_s", 0.0}});
    }
    const std::string single = shards.back();
    shards.pop_back();

    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int i = 0; i < (SHARDS + 1) * 3; ++i) {
        Searcher::Options options;
        options.id = "i-" + random_hex(8);
        options.service = i / 3 < SHARDS ? shards[static_cast<std::size_t>(i / 3)] : single;
        options.zone = ZONES[i % 3];
        options.ip = "127.0.0.1";
        options.queue = 12;
        options.connections = 25;
        options.work_ms = 11.0;
        options.body = [] {
            std::string records;
            for (int number = 0; number < 60; ++number) {
                records += random_hex(16);
            }
            return records;
        };
        searchers.push_back(std::make_unique<Searcher>(options));
        Searcher& searcher = *searchers.back();
        // One of three searchers of each shard, a third of all copies (`across`), or of the one
        // service.
        const bool is_in_spoilt_part = (options.service == single) == spoils_trailer;
        if (!is_in_spoilt_part || i % 3 != 0) {
            searcher.on_run = [](const Searcher&, const Message& request) {
                const std::lock_guard<std::mutex> lock(seen_mutex);
                ++seen[request.header("X-Ebonymount-Request-Id")].runs;
            };
        } else {
            searcher.spoil = [&record, spoils_trailer, id = options.id](
                                 Searcher::Link&, const Searcher::Answer& answer) {
                if (!answer.ran || !is_spell() || uniform() >= SPOILED_SHARE) {
                    return answer.text;
                }
                record.write("spoiled the answer of " + id + " to " + answer.request_id);
                return spoils_trailer ? spoiled_trailer(answer.request_id)
                                      : spoiled_head(answer.request_id);
            };
        }
        if (!searcher.open()) {
            return 2;
        }
    }
    const Json routes = {{{"name", "r-browse"},
                          {"hostname", HOST},
                          {"path_prefix", FAN_OUT_PREFIX},
                          {"type", "idempotent"},
                          {"timeout_ms", 1200},
                          {"target_latency_ms", 150},
                          {"priority", 1},
                          {"fanout_services", shards},
                          {"max_attempts", 2},
                          {"top_k", 50},
                          {"min_success_share", 0.89},
                          {"allowed_regions", Json::array()}},
                         {{"name", "r-single"},
                          {"hostname", HOST},
                          {"path_prefix", SINGLE_PREFIX},
                          {"type", "idempotent"},
                          {"timeout_ms", 1200},
                          {"target_latency_ms", 400},
                          {"priority", 2},
                          {"service", single},
                          {"max_attempts", 2},
                          {"allowed_regions", Json::array()}}};
    store.put("config", "main",
              {{"version", 7},
               {"routes", routes},
               {"services", services},
               {"limits",
                {{"max_header_bytes", 16384},
                 {"max_body_bytes", 262144},
                 {"header_timeout_ms", 3000},
                 {"idle_timeout_ms", 15000}}}});
    std::atomic<bool> ends{false};
    std::thread beats([&] {
        while (!ends) {
            for (const auto& searcher : searchers) {
                store.put("servers", searcher->options().id, searcher->entry());
            }
            sleep_ms(1200);
        }
    });

    std::string zones;
    for (int i = 0; i < 3; ++i) {
        zones += std::string("zones.") + ZONES[i] + "=" + REGIONS[i] + "\n";
    }
    std::vector<std::unique_ptr<Machine>> machines;
    std::string seeds;
    for (int i = 0; i < 3; ++i) {
        machines.push_back(std::make_unique<Machine>(Machine::Options{
            argv[1], folder.path(), std::string("front-") + ZONES[i] + "-1",
            "127.0.0." + std::to_string(11 + i), ZONES[i], REGIONS[i], zones, store.address()}));
        seeds += (i == 0 ? "" : ",") + machines.back()->control_address();
    }
    for (const auto& machine : machines) {
        machine->write_settings(seeds, true);
        machine->start();
    }
    bool ready = false;
    while (!ready && now_ms() < TRAFFIC_FROM_MS) {
        sleep_ms(100);
        ready = std::all_of(machines.begin(), machines.end(),
                            [](const auto& machine) { return machine->is_ready(); });
    }
    int result = 2;
    std::vector<int> own_ends(machines.size(), 0);
    if (ready) {
        std::thread platform([&] {
            std::vector<std::int64_t> restart_at(machines.size(), 0);
            while (!ends) {
                for (std::size_t i = 0; i < machines.size(); ++i) {
                    int status = 0;
                    if (machines[i]->poll_end(status)) {
                        ++own_ends[i];
                        restart_at[i] = now_ms() + RESTART_MS;
                        record.write(machines[i]->name() + " ended by itself, " +
                                     (WIFSIGNALED(status)
                                          ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit code " + std::to_string(WEXITSTATUS(status))));
                    }
                    if (!machines[i]->runs() && now_ms() >= restart_at[i]) {
                        machines[i]->write_settings(seeds, false);
                        machines[i]->start();
                        record.write(machines[i]->name() + " is started again");
                    }
                }
                sleep_ms(5);
            }
        });
        std::vector<std::thread> clients;
        for (int i = 0; i < CLIENTS; ++i) {
            clients.emplace_back([&machines, i, &record, spoils_trailer] {
                run_client(machines, i, spoils_trailer ? SINGLE_PREFIX : FAN_OUT_PREFIX, record);
            });
        }
        for (std::thread& client : clients) {
            client.join();
        }
        ends = true;
        platform.join();
        int lost = 0;
        std::map<int, int> statuses;
        {
            const std::lock_guard<std::mutex> lock(seen_mutex);
            for (const auto& [id, one] : seen) {
                ++statuses[one.answer];
                if (one.kept_connection && one.runs > 0 && one.answer == -1) {
                    ++lost;
                    record.write(
                        "LOST " + id + " ran at " + std::to_string(one.runs) +
                        " sound searchers, its kept connection was closed without an answer");
                }
            }
        }
        std::ostringstream total;
        total << "requests " << seen.size();
        for (const auto& [status, count] : statuses) {
            total << ", "
                  << (status == -1   ? "closed"
                      : status == -2 ? "nothing"
                                     : "status ")
                  << (status < 0 ? "" : std::to_string(status)) << ": " << count;
        }
        int faulty_machines = 0;
        total << "; ended by themselves:";
        for (std::size_t i = 0; i < machines.size(); ++i) {
            total << " " << machines[i]->name() << " " << own_ends[i];
            faulty_machines += own_ends[i] >= FAULT_ENDS ? 1 : 0;
        }
        total << "; LOST " << lost << "; machines at fault " << faulty_machines;
        record.write(total.str());
        std::cout << total.str() << "\n";
        result = lost > ALLOWED_LOST || faulty_machines >= FAULT_MACHINES ? 1 : 0;
    }
    ends = true;
    beats.join();
    for (const auto& machine : machines) {
        machine->stop();
    }
    for (const auto& searcher : searchers) {
        searcher->close_all();
    }
    store.close_all();
    record.flush();
    return result;
}
