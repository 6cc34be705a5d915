// Fields of targets and callers that are longer than any sound one, at a node with real sockets. An
// exception that nothing catches would end the whole test.
#include <catch2/catch.hpp>
#include <vector>

#include "front_fleet.h"
#include "io/http_status.h"
#include "platform/names.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

constexpr std::size_t SHARDS = 10;
constexpr std::size_t REQUESTS = 20;

/// All signatures that a response lists.
std::string listed_signatures(const HttpResponseMessage& response) {
    std::string signatures;
    for (const HttpHeader& header : response.headers) {
        if (header.name == names::PART_SIGNATURES || header.name == names::SIGNATURE) {
            signatures += header.value + ", ";
        }
    }
    return signatures;
}

/// Sends requests one after the other, and returns the responses.
std::vector<HttpResponseMessage> send_all(FrontFleet& fleet,
                                          const std::vector<HttpRequestMessage>& requests) {
    std::vector<HttpResponseMessage> responses;
    const std::function<void()> send_next = [&] {
        fleet.request(0, requests[responses.size()],
                      [&](CallStatus /*status*/, const HttpResponseMessage& response) {
                          responses.push_back(response);
                          if (responses.size() < requests.size()) {
                              send_next();
                          }
                      });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send_next},
                             {[&] { return responses.size() == requests.size(); },
                              [] {
                              }}}));
    return responses;
}

}  // namespace

// Guards against one target's malformed signature that spoils or ends whole responses, or the
// process: another replica is asked, and the other parts are used.
TEST_CASE("a response lists no malformed signature") {
    const std::vector<std::string> suffixes = {std::string(1024, 's'), std::string(6553, 's'),
                                               std::string(60000, 's'), ", other"};
    for (const std::string& suffix : suffixes) {
        INFO(suffix.size());
        FrontFleet fleet(1);
        FleetRoute route{"find", {}};
        route.fan_out = true;
        for (std::size_t shard = 0; shard < SHARDS; ++shard) {
            route.services.push_back("s" + std::to_string(shard));
            fleet.add_targets(route.services.back(), 2);
            standin::TargetBehaviour malformed;
            malformed.signature_suffix = suffix;
            fleet.set_behaviour(route.services.back() + "-0", malformed);
        }
        fleet.start({route, {"one", {"s0"}}});
        const std::vector<HttpRequestMessage> requests(REQUESTS, {"GET", "/find/1", {}, "", true});
        std::vector<HttpRequestMessage> all = requests;
        all.resize(2 * REQUESTS, {"GET", "/one/1", {}, "", true});
        std::size_t served = 0;
        for (const HttpResponseMessage& response : send_all(fleet, all)) {
            served += response.status == http::OK ? 1 : 0;
            CHECK(listed_signatures(response).find(suffix) == std::string::npos);
        }
        CHECK(served == all.size());
    }
}

// Guards against a caller's long field that ends the process where the configuration allows it.
TEST_CASE("a caller's field of any allowed length gets a response") {
    FrontFleet fleet(1);
    fleet.set_max_header_bytes(400000);
    fleet.add_targets("booking", 2);
    fleet.start({{"book", {"booking"}}});
    std::vector<HttpRequestMessage> requests;
    for (const std::size_t length : {16384U, 65533U, 65534U, 65536U, 390000U}) {
        const std::string text(length, 'x');
        requests.push_back({"GET", "/book/1", {{"Field", text}}, "", true});
        requests.push_back({"GET", "/book/1", {{text, "value"}}, "", true});
        requests.push_back({"GET", "/book/" + text, {}, "", true});
    }
    const std::vector<HttpResponseMessage> responses = send_all(fleet, requests);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        INFO(i);
        CHECK(responses[i].status == http::OK);
    }
}

// Guards against a caller's long request id that makes sound targets look broken: their responses
// repeat it.
TEST_CASE("a caller's request id of any allowed length leaves the targets usable") {
    FrontFleet fleet(1);
    fleet.set_max_header_bytes(400000);
    fleet.add_targets("booking", 2);
    fleet.start({{"book", {"booking"}}});
    std::vector<HttpRequestMessage> requests;
    for (const std::size_t length : {65400U, 65534U, 65536U, 390000U}) {
        const std::string id(length, 'x');
        requests.push_back({"GET", "/book/1", {{names::REQUEST_ID, id}}, "", true});
        requests.push_back({"GET", "/none/1", {{names::REQUEST_ID, id}}, "", true});
        requests.push_back({"GET", "/book/2", {}, "", true});
    }
    const std::vector<HttpResponseMessage> responses = send_all(fleet, requests);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        INFO(i);
        CHECK(responses[i].status == (i % 3 == 1 ? http::NOT_FOUND : http::OK));
    }
}

}  // namespace ebonymount
