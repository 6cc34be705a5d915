// A searcher turns a request away and sends a second copy of that answer late, in front of its
// answer to the next request on the connection. Checks TWICE and REFUSED as clients and searchers
// see them.
#include <cmath>

#include "../stand_in_2/world.h"

using namespace world;

namespace {

constexpr const char* ZONES[] = {"lowlands-a", "highlands-a", "borders-a"};
constexpr const char* REGIONS[] = {"lowlands", "highlands", "borders"};
constexpr const char* HOST = "hufi27.example";
constexpr const char* PREFIX = "/goka902/";

/// Answers that a spoiling searcher follows with a late second copy, and the spells in which it
/// does so: the doses of `garble` with how = "extra late" in the site files.
constexpr double SPOILED_SHARE = 0.03;
constexpr std::int64_t SPELL_MS = 5000;
constexpr std::int64_t SPELL_EVERY_MS = 6000;
constexpr std::int64_t FIRST_SPELL_MS = 9000;

constexpr std::int64_t TRAFFIC_FROM_MS = 5000;
constexpr std::int64_t TRAFFIC_UNTIL_MS = 95000;
constexpr std::int64_t DEADLINE_MS = 4000;

constexpr int CLIENTS = 120;
constexpr int MACHINES = 6;

/// The one searcher that the route allows has two slots: 333 requests a second fill it. Requests
/// come at random times, so its queue is full now and then, and it turns some away.
constexpr double REQUESTS_PER_SECOND = 300.0;
constexpr double WORK_MS = 6.0;

struct Seen {
    int runs = 0;
    int answer = 0;
    int copies = 0;
};

std::mutex seen_mutex;
std::map<std::string, Seen> seen;

bool is_spell() {
    const std::int64_t now = now_ms();
    return has_trouble() && now >= FIRST_SPELL_MS && now < TRAFFIC_UNTIL_MS &&
           (now - FIRST_SPELL_MS) % SPELL_EVERY_MS < SPELL_MS;
}

/// A client with one kept connection, which sends requests at random times.
void run_client(const std::vector<std::unique_ptr<Machine>>& machines, int number, Record& record) {
    const Machine& machine = *machines[static_cast<std::size_t>(number) % machines.size()];
    int fd = -1;
    std::unique_ptr<Reader> reader;
    const double pause_ms = 1000.0 * CLIENTS / REQUESTS_PER_SECOND;
    sleep_ms(TRAFFIC_FROM_MS - now_ms());
    double next = static_cast<double>(now_ms()) + uniform() * pause_ms;
    while (now_ms() < TRAFFIC_UNTIL_MS) {
        sleep_ms(std::max<std::int64_t>(0, static_cast<std::int64_t>(next) - now_ms()));
        next = std::max(next - std::log(1.0 - uniform()) * pause_ms,
                        static_cast<double>(now_ms()) - 200.0);
        if (fd < 0) {
            fd = connect_to(machine.ip(), machine.front_port());
            if (fd < 0) {
                continue;
            }
            reader = std::make_unique<Reader>(fd);
        }
        const std::string id = random_hex(16);
        const std::string body = "slot=" + random_hex(40);
        {
            const std::lock_guard<std::mutex> lock(seen_mutex);
            seen[id];
        }
        record.write("sent " + id + " " + machine.name());
        Message answer;
        const bool sent = send_all(
            fd, std::string("POST ") + PREFIX + "2f HTTP/1.1\r\nHost: " + HOST +
                    "\r\nX-Ebonymount-Request-Id: " + id +
                    "\r\nX-Ebonymount-Deadline-Ms: " + std::to_string(DEADLINE_MS) +
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        const Reading reading =
            sent ? reader->read(answer, true, DEADLINE_MS + 500) : Reading::broken;
        const int status = reading == Reading::complete ? std::atoi(answer.second.c_str()) : -1;
        record.write("answered " + id + " " + std::to_string(status));
        {
            const std::lock_guard<std::mutex> lock(seen_mutex);
            seen[id].answer = status;
        }
        if (status < 0 || same_text(answer.header("Connection"), "close")) {
            close(fd);
            fd = -1;
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
    Record record(argv[2]);
    const TemporaryFolder folder;
    Store store;
    if (!store.open("127.0.0.1")) {
        return 2;
    }

    Searcher::Options options;
    options.id = "i-" + random_hex(8);
    options.service = "kafi81c";
    options.zone = ZONES[0];
    options.ip = "127.0.0.1";
    options.work_ms = WORK_MS;
    options.body = [] {
        return std::string(300, 'r');
    };
    Searcher searcher(options);
    searcher.on_run = [&record](const Searcher&, const Message& request) {
        const std::string id = request.header("X-Ebonymount-Request-Id");
        record.write("run " + id);
        const std::lock_guard<std::mutex> lock(seen_mutex);
        ++seen[id].runs;
    };
    searcher.on_refusal = [&record](const Searcher&, const Message& request, int status) {
        record.write("refused " + request.header("X-Ebonymount-Request-Id") + " " +
                     std::to_string(status));
    };
    searcher.before = [&record](int fd, Searcher::Link& link, const Message& request) {
        if (link.late_copy.empty()) {
            return false;
        }
        const std::string copy = std::move(link.late_copy);
        link.late_copy.clear();
        record.write("second copy of the answer to " + link.late_copy_of +
                     " in front of the answer to " + request.header("X-Ebonymount-Request-Id"));
        return !send_all(fd, copy);
    };
    searcher.spoil = [](Searcher::Link& link, const Searcher::Answer& answer) {
        if (is_spell() && uniform() < SPOILED_SHARE) {
            link.late_copy = answer.text;
            link.late_copy_of = answer.request_id;
        }
        return answer.text;
    };
    if (!searcher.open()) {
        return 2;
    }
    // The other searcher of the service is in a region that the route does not allow, and sound.
    Searcher::Options other_options = options;
    other_options.id = "i-" + random_hex(8);
    other_options.zone = ZONES[1];
    Searcher other_searcher(other_options);
    other_searcher.on_run = searcher.on_run;
    other_searcher.on_refusal = searcher.on_refusal;
    if (!other_searcher.open()) {
        return 2;
    }

    const Json routes = {{{"name", "r-book"},
                          {"hostname", HOST},
                          {"path_prefix", PREFIX},
                          {"type", "non_idempotent"},
                          {"timeout_ms", 4000},
                          {"target_latency_ms", 400},
                          {"priority", 2},
                          {"service", "kafi81c"},
                          {"max_attempts", 2},
                          {"allowed_regions", Json::array({REGIONS[0]})}}};
    const Json services = {{{"name", "kafi81c"},
                            {"health_path", "/health"},
                            {"max_connections", 96},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"cold_start_s", 3.0},
                            {"cold_per_s", 0.0}}};
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
            store.put("servers", options.id, searcher.entry());
            store.put("servers", other_options.id, other_searcher.entry());
            sleep_ms(1200);
        }
    });

    std::string zones;
    for (int i = 0; i < 3; ++i) {
        zones += std::string("zones.") + ZONES[i] + "=" + REGIONS[i] + "\n";
    }
    std::vector<std::unique_ptr<Machine>> machines;
    std::string seeds;
    for (int i = 0; i < MACHINES; ++i) {
        const std::string zone = ZONES[i % 3];
        machines.push_back(std::make_unique<Machine>(Machine::Options{
            argv[1], folder.path(), "front-" + zone + "-" + std::to_string(1 + i / 3),
            "127.0.0." + std::to_string(11 + i), zone, REGIONS[i % 3], zones, store.address()}));
        // The settings name three machines at most.
        seeds += i < 3 ? (i == 0 ? "" : ",") + machines.back()->control_address() : "";
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
    if (ready) {
        std::vector<std::thread> clients;
        for (int i = 0; i < CLIENTS; ++i) {
            clients.emplace_back([&machines, i, &record] { run_client(machines, i, record); });
        }
        for (std::thread& client : clients) {
            client.join();
        }
        sleep_ms(1000);
        int twice = 0;
        int refused = 0;
        std::map<int, int> statuses;
        {
            const std::lock_guard<std::mutex> lock(seen_mutex);
            for (const auto& [id, one] : seen) {
                ++statuses[one.answer];
                if (one.runs > 1) {
                    ++twice;
                    record.write("TWICE " + id + " runs " + std::to_string(one.runs) +
                                 " answered " + std::to_string(one.answer));
                }
                if (one.runs > 0 && (one.answer == 503 || one.answer == 429)) {
                    ++refused;
                    record.write("REFUSED " + id + " runs " + std::to_string(one.runs) +
                                 " answered " + std::to_string(one.answer));
                }
            }
        }
        std::ostringstream total;
        total << "requests " << seen.size();
        for (const auto& [status, count] : statuses) {
            total << ", status " << status << ": " << count;
        }
        total << "; TWICE " << twice << ", REFUSED " << refused;
        record.write(total.str());
        std::cout << total.str() << "\n";
        result = twice + refused > 0 ? 1 : 0;
    }
    ends = true;
    beats.join();
    for (const auto& machine : machines) {
        machine->stop();
    }
    searcher.close_all();
    other_searcher.close_all();
    store.close_all();
    record.flush();
    return result;
}
