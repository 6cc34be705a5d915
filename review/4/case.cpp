// RECOVER: a request that ran when all searchers of its service crashed is refused from then on.
//
// Three nodes, one service, and clients of which nine in ten ask for the same page. All searchers
// of the service crash and are back 4.5 s later; then all nodes are killed and started again. Of
// the requests that are sent later than `recovery_s` after that, a quarter must be served.
//
// TROUBLE=0 leaves both disruptions out, TROUBLE=kill only the crash of the searchers.
#include <cstdlib>
#include <iostream>

#include "../stand_in/bed.h"

namespace {

using namespace review;

constexpr int NODES = 3;
constexpr int REQUESTS_PER_SECOND = 60;
constexpr int DEADLINE_MS = 5000;
constexpr std::int64_t CRASH_MS = 8000;
constexpr std::int64_t CRASH_LENGTH_MS = 4500;
constexpr std::int64_t KILL_MS = 15000;
constexpr std::int64_t DOWN_MS = 880;
constexpr std::int64_t RECOVERY_MS = 12000;
constexpr std::int64_t TRAFFIC_MS = 40000;
/// One request in this many asks for a page of its own, the others for the same one.
constexpr std::int64_t OWN_PAGE_INTERVAL = 10;
constexpr const char* COMMON_PAGE = "start";
/// Less than this share of the requests served after the recovery breaks the rule, if at least this
/// share was served before the final fault.
constexpr double MIN_SERVED_SHARE = 0.25;

/// All searchers of the service crash at once and are back after a while.
void crash_searchers(Deployment& deployment, std::int64_t back_ms) {
    std::vector<std::thread> crashes;
    for (const std::unique_ptr<Searcher>& searcher : deployment.searchers()) {
        crashes.emplace_back([&searcher] { searcher->crash(); });
    }
    for (std::thread& crash : crashes) {
        crash.join();
    }
    sleep_until_ms(back_ms);
    for (const std::unique_ptr<Searcher>& searcher : deployment.searchers()) {
        searcher->restart();
        deployment.store().put("servers", searcher->parameters().id, searcher->entry());
    }
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
        sleep_until_ms(start_ms + CRASH_MS);
        if (!kills_only) {
            crash_searchers(deployment, start_ms + CRASH_MS + CRASH_LENGTH_MS);
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
        const bool has_own_page = request % OWN_PAGE_INTERVAL == 0;
        return has_own_page ? "page-" + std::to_string(request) : std::string(COMMON_PAGE);
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
