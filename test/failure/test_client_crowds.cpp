// Crowds of clients that do not behave: slow readers, requests that never end, idle connections.
// Whatever they do, the process lives within the memory and descriptors of its machine, and an
// ordinary request is answered. No check depends on the speed of the machine.
#include <catch2/catch.hpp>

#include "crowded_front.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

/// Descriptors of the machine that are for files; sockets share the rest.
constexpr std::size_t FILE_DESCRIPTORS = 200;

constexpr std::size_t LARGE_ANSWER_BYTES = 8 << 20;
constexpr std::size_t LARGE_PART_BYTES = 512 << 10;
constexpr std::size_t SHARDS = 10;
/// The limits on requests of the configuration that the fixture publishes.
constexpr std::size_t MAX_HEADER_BYTES = 16384;
constexpr std::size_t MAX_BODY_BYTES = 262144;

const std::string REQUEST_FIELDS = std::string("Host: crowd.example\r\n") +
                                   platform::names::DEADLINE + ": 20000\r\n" +
                                   platform::names::REQUEST_ID + ": crowd\r\n";

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\n" + REQUEST_FIELDS + "\r\n";
}

/// Head of a request with a body of that length.
std::string post_head(const std::string& path, std::size_t body_bytes) {
    return "POST " + path + " HTTP/1.1\r\n" + REQUEST_FIELDS +
           "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

std::string repeat(const std::string& text, std::size_t bytes) {
    std::string result;
    while (result.size() + text.size() <= bytes) {
        result += text;
    }
    return result;
}

/// Starts the process with a small service, a service of large answers and a fan-out of large
/// parts.
void start(CrowdedFront& front) {
    std::vector<CrowdService> services = {{"small", 100}, {"large", LARGE_ANSWER_BYTES}};
    std::vector<std::string> shards;
    for (std::size_t shard = 0; shard < SHARDS; ++shard) {
        shards.push_back("shard-" + std::to_string(shard));
        services.push_back({shards.back(), LARGE_PART_BYTES});
    }
    REQUIRE(
        front.start(services, {{"small", {"small"}}, {"large", {"large"}}, {"fan", shards, true}}));
}

/// What must hold whatever clients do.
void check_health(CrowdedFront& front, const FrontMachine& machine) {
    CHECK(front.ask(caller_request("/small/ordinary")).has_value());
    front.wait_for_crowds();
    CHECK(front.ask(caller_request("/small/ordinary")).has_value());
    CHECK(front.is_running());
    CHECK(front.peak_memory_mb() <= machine.memory_mb);
    CHECK(front.max_open_descriptors() <=
          static_cast<std::size_t>(machine.max_open_files) - FILE_DESCRIPTORS);
}

/// A request whose header is as long as allowed, in fields as short as possible.
std::string short_fields(std::size_t bytes) {
    return "GET /small/fields HTTP/1.1\r\n" + REQUEST_FIELDS + repeat("a:\r\n", bytes);
}

CrowdBehaviour unread_answers(const std::string& path) {
    CrowdBehaviour behaviour;
    behaviour.request = get(path);
    return behaviour;
}

CrowdBehaviour unfinished_bodies() {
    CrowdBehaviour behaviour;
    behaviour.request = post_head("/small/body", MAX_BODY_BYTES);
    behaviour.flood = std::string(65536, 'b');
    behaviour.flood_bytes = MAX_BODY_BYTES - 1;
    return behaviour;
}

CrowdBehaviour unfinished_headers() {
    CrowdBehaviour behaviour;
    behaviour.request = short_fields(MAX_HEADER_BYTES - 500);
    return behaviour;
}

CrowdBehaviour flood_while_answered() {
    CrowdBehaviour behaviour = unread_answers("/large/flood");
    behaviour.flood = std::string(65536, 'f');
    behaviour.flood_bytes = 24 << 20;
    return behaviour;
}

}  // namespace

TEST_CASE("requests at the limits are served in calm") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    const HttpResponseMessage large = front.ask_once(caller_request("/large/x"));
    CHECK(large.status == 200);
    CHECK(large.body.size() == LARGE_ANSWER_BYTES);
    CHECK(front.ask_once(caller_request("/fan/x")).status == 200);
    CHECK(front.ask_once(caller_request("/small/x", std::string(MAX_BODY_BYTES, 'b'))).status ==
          200);
    CHECK(front.ask_once(caller_request("/fan/x", std::string(MAX_BODY_BYTES, 'b'))).status == 200);
    HttpRequestMessage many_fields = caller_request("/small/x");
    many_fields.headers.resize(many_fields.headers.size() + 2500, {"a", "b"});
    CHECK(front.ask_once(many_fields).status == 200);
    check_health(front, machine);
}

TEST_CASE("clients that do not read long answers") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(24, FrontListener::callers, unread_answers("/large/x"), true);
    check_health(front, machine);
}

TEST_CASE("clients that read long answers slowly") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    CrowdBehaviour behaviour = unread_answers("/large/x");
    behaviour.read_bytes = 64;
    front.add_crowd(24, FrontListener::callers, behaviour, true);
    check_health(front, machine);
}

TEST_CASE("clients that send on while they do not read their answer") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(8, FrontListener::callers, flood_while_answered(), false);
    check_health(front, machine);
}

TEST_CASE("clients whose bodies never end") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(600, FrontListener::callers, unfinished_bodies(), false);
    check_health(front, machine);
}

TEST_CASE("clients that send headers of very short fields") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(700, FrontListener::callers, unfinished_headers(), false);
    check_health(front, machine);
}

TEST_CASE("clients that do not read the answers of a fan-out with large parts") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(60, FrontListener::callers, unread_answers("/fan/x"), true);
    check_health(front, machine);
}

TEST_CASE("clients that hold connections without a request") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(1200, FrontListener::callers, CrowdBehaviour{}, false);
    check_health(front, machine);
}

TEST_CASE("clients that send a byte of a body now and then") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    CrowdBehaviour behaviour;
    behaviour.request = post_head("/small/trickle", MAX_BODY_BYTES);
    behaviour.trickle = "b";
    front.add_crowd(1200, FrontListener::callers, behaviour, false);
    check_health(front, machine);
}

TEST_CASE("a body that takes too long ends its connection") {
    FrontMachine machine;
    machine.settings = "callers.request_timeout_ms=500";
    CrowdedFront front(machine);
    start(front);
    CrowdBehaviour behaviour;
    behaviour.request = post_head("/small/trickle", MAX_BODY_BYTES);
    behaviour.trickle = "b";
    front.add_crowd(50, FrontListener::callers, behaviour, false);
    CHECK(front.wait_until_connected(0));
    CHECK(front.counter("ebonymount_front_stalled_requests_total") >= 50);
    check_health(front, machine);
}

TEST_CASE("clients at all listeners at once") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    for (const FrontListener listener :
         {FrontListener::metrics, FrontListener::readiness, FrontListener::callers}) {
        front.add_crowd(700, listener, CrowdBehaviour{}, false);
    }
    check_health(front, machine);
}

TEST_CASE("clients that send many requests at once and do not read") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    CrowdBehaviour behaviour;
    behaviour.request = repeat(get("/none/x"), 60000);
    front.add_crowd(700, FrontListener::callers, behaviour, false);
    check_health(front, machine);
}

TEST_CASE("clients whose requests wait for many targets") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    std::vector<CrowdService> services = {{"small", 100}};
    std::vector<std::string> shards;
    for (std::size_t shard = 0; shard < SHARDS; ++shard) {
        shards.push_back("silent-" + std::to_string(shard));
        services.push_back({shards.back(), 0, false});
    }
    REQUIRE(front.start(services, {{"small", {"small"}}, {"silent", shards, true}}));
    front.add_crowd(300, FrontListener::callers, unread_answers("/silent/x"), false);
    check_health(front, machine);
}

TEST_CASE("crowds of all kinds together") {
    const FrontMachine machine;
    CrowdedFront front(machine);
    start(front);
    front.add_crowd(200, FrontListener::metrics, CrowdBehaviour{}, false);
    front.add_crowd(200, FrontListener::readiness, CrowdBehaviour{}, false);
    front.add_crowd(200, FrontListener::callers, CrowdBehaviour{}, false);
    front.add_crowd(12, FrontListener::callers, unread_answers("/large/x"), false);
    front.add_crowd(30, FrontListener::callers, unread_answers("/fan/x"), false);
    front.add_crowd(300, FrontListener::callers, unfinished_bodies(), false);
    front.add_crowd(300, FrontListener::callers, unfinished_headers(), false);
    front.add_crowd(4, FrontListener::callers, flood_while_answered(), false);
    check_health(front, machine);
}

}  // namespace ebonymount
