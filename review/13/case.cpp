// Case 13: requests inside the body of another request, whose framing names no chunks.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <unistd.h>

#include <cstdio>
#include <exception>

#include "../stand_in_3/world.h"

namespace {

using world::Json;

constexpr const char* HOST = "stands.example";
constexpr const char* SERVICE = "booking";
constexpr int TRIES = 10;

std::string head_of(const std::string& path, const std::string& request_id) {
    return "POST " + path + " HTTP/1.1\r\nHost: " + HOST +
           "\r\nX-Ebonymount-Request-Id: " + request_id + "\r\nX-Ebonymount-Deadline-Ms: 4000\r\n";
}

int play(world::Record& record) {
    const bool trouble = world::has_trouble();
    const std::vector<world::FrontPlace> places = {
        {"front-lowlands-a-1", "127.0.1.1", "lowlands-a", "lowlands"},
        {"front-highlands-a-1", "127.0.1.2", "highlands-a", "highlands"},
        {"front-borders-a-1", "127.0.1.3", "borders-a", "borders"}};
    const std::vector<int> free = world::free_ports({"127.0.1.1", "127.0.1.2", "127.0.1.3"}, 20);
    const world::Ports ports{free[0], free[1], free[2], free[4]};
    world::Folder folder;
    world::RunLog runs;
    world::Store store("127.0.0.1");
    store.set_stale_by(800);
    std::vector<std::unique_ptr<world::Searcher>> searchers;
    for (std::size_t i = 0; i < 3; ++i) {
        searchers.push_back(std::make_unique<world::Searcher>(
            "i-searcher-" + std::to_string(i), SERVICE, places[i].zone, 20, runs));
        store.put("servers", searchers.back()->id(), searchers.back()->entry("ready"));
    }
    const Json route = {{"name", "stand-book"},
                        {"hostname", HOST},
                        {"path_prefix", "/stands/"},
                        {"type", "non_idempotent"},
                        {"timeout_ms", 4000},
                        {"target_latency_ms", 400},
                        {"priority", 2},
                        {"service", SERVICE},
                        {"max_attempts", 2},
                        {"allowed_regions", Json::array()}};
    store.put("config", "main",
              {{"version", 7},
               {"routes", Json::array({route})},
               {"services", Json::array({world::service_row(SERVICE)})},
               {"limits", world::limits_row()}});
    std::vector<std::unique_ptr<world::FrontProcess>> fronts;
    for (const world::FrontPlace& place : places) {
        fronts.push_back(std::make_unique<world::FrontProcess>(place, ports, store.address(),
                                                               places, folder.path()));
        fronts.back()->start(true);
    }
    if (!world::wait_until_ready(fronts, 10000)) {
        record.line("the fronts are not ready");
        return 2;
    }
    world::sleep_ms(5000);
    std::set<std::string> sent;
    for (int i = 0; i < TRIES; ++i) {
        const std::string number = std::to_string(i);
        const std::string inner =
            head_of("/stands/8", "inside-" + number) + "Content-Length: 0\r\n\r\n";
        // The same body: by its length, or under a coding that is not `chunked`.
        const std::string framing = trouble
                                        ? "Transfer-Encoding: gzip\r\n"
                                        : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
        const std::string text = head_of("/stands/7", "outer-" + number) + framing + "\r\n" + inner;
        sent.insert("outer-" + number);
        const world::FrontProcess& front = *fronts[static_cast<std::size_t>(i) % fronts.size()];
        const int socket = world::connect_to(front.address(), 1000);
        std::string buffer;
        world::Message answer;
        std::string statuses;
        if (socket >= 0 && world::send_all(socket, text)) {
            while (world::read_message(socket, buffer, answer, 1000)) {
                statuses += " " + std::to_string(answer.status);
            }
        }
        if (socket >= 0) {
            close(socket);
        }
        record.line("one request, outer-" + number + ", with a body of " +
                    std::to_string(inner.size()) + " bytes and \"" +
                    framing.substr(0, framing.size() - 2) + "\": answers" + statuses);
    }
    int unasked = 0;
    for (const world::Run& run : runs.all()) {
        const bool was_sent = sent.count(run.request_id) > 0;
        unasked += was_sent ? 0 : 1;
        record.line(run.searcher + " ran " + run.request_id + ", body of " +
                    std::to_string(run.body_bytes) + " bytes" + (was_sent ? "" : ": no client sent it"));
    }
    record.line("requests run that no client sent: " + std::to_string(unasked));
    return unasked > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    try {
        world::Record record(argv[1]);
        return play(record);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
