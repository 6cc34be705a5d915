// RECOVER: with one unreadable entry in the store, no node serves after all have been restarted.
//
// Three nodes and 14 searchers. Another writer puts an entry into the store's `servers` whose
// address is half of a surrogate pair, which is JSON but no text. Later all nodes are killed and
// started again. The entry names no searcher to use; the others hold. Of the requests that are sent
// later than `recovery_s` after the kill, a quarter must be served.
//
// TROUBLE=0 leaves both out, TROUBLE=kill only the entry.
#include <cstdlib>
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int NODES = 3;
constexpr int REQUESTS_PER_SECOND = 60;
constexpr int DEADLINE_MS = 5000;
constexpr std::int64_t ENTRY_MS = 4000;
constexpr std::int64_t KILL_MS = 8000;
constexpr std::int64_t DOWN_MS = 880;
constexpr std::int64_t RECOVERY_MS = 12000;
constexpr std::int64_t TRAFFIC_MS = 32000;
/// Less than this share of the requests served after the recovery breaks the rule, if at least this
/// share was served before the final fault.
constexpr double MIN_SERVED_SHARE = 0.25;

/// An entry of another writer; all fields but the address are as they should be.
void put_unreadable_entry(Deployment& deployment) {
    nlohmann::json entry = deployment.searchers().front()->entry();
    entry["address"] = "@";
    deployment.record().add("another writer puts servers/i-other");
    deployment.store().put_text("servers", "i-other", entry, "\"@\"", "\"\\ud800\"");
}

int run_case(const std::string& record_path) {
    DeploymentParameters parameters;
    parameters.searcher = {"i-socio", "app-socio", "curitiba"};
    parameters.searcher.slots = 4;
    parameters.searcher.work = Milliseconds(120);
    parameters.nodes = NODES;
    parameters.route.timeout_ms = DEADLINE_MS;
    parameters.route.target_latency_ms = 500;
    Deployment deployment(record_path, parameters);
    const char* mode = std::getenv("TROUBLE");
    const bool kills_only = mode != nullptr && std::string(mode) == "kill";
    const std::int64_t start_ms = now_ms();
    std::int64_t back_ms = start_ms + KILL_MS + DOWN_MS;
    std::thread disruptions([&] {
        if (!has_trouble()) {
            return;
        }
        sleep_until_ms(start_ms + ENTRY_MS);
        if (!kills_only) {
            put_unreadable_entry(deployment);
        }
        sleep_until_ms(start_ms + KILL_MS);
        deployment.kill_nodes(Milliseconds(DOWN_MS));
        back_ms = now_ms();
    });
    OpenLoop loop;
    loop.per_second = REQUESTS_PER_SECOND;
    loop.length_ms = TRAFFIC_MS;
    loop.deadline_ms = DEADLINE_MS;
    loop.choose_node = [](std::int64_t request) {
        return static_cast<std::size_t>(request % NODES);
    };
    loop.choose_page = [](std::int64_t request) {
        return "page-" + std::to_string(request);
    };
    const std::vector<Sent> all_sent = run_open_loop(deployment, loop);
    disruptions.join();
    Share before;
    Share after;
    for (const Sent& sent : all_sent) {
        if (sent.sent_ms < start_ms + KILL_MS) {
            before.add(sent);
        } else if (sent.sent_ms > back_ms + RECOVERY_MS) {
            after.add(sent);
        }
    }
    std::cout << "before the final fault: " << before.text()
              << "\nlater than recovery_s after it: " << after.text() << '\n';
    if (before.value() < MIN_SERVED_SHARE) {
        return COULD_NOT_RUN;
    }
    return after.value() < MIN_SERVED_SHARE ? RULE_BROKEN : RULE_HELD;
}

}  // namespace

int main(int argc, char** argv) {
    return run_program(argc, argv, run_case);
}
