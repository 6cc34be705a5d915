// Exceptions that nothing expects: each costs its connection, call or request, and no more. What
// was begun ends, so that nobody waits for it.
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>

#include "catch_main.h"
#include "front/front_state.h"
#include "front/request_handler.h"
#include "io/exception_guard.h"
#include "io/http_status.h"
#include "io/peer_sessions.h"
#include "platform/names.h"
#include "raw_peer.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

[[noreturn]] void fail() {
    throw std::length_error("field value too large");
}

HttpResponseMessage ok() {
    return {http::OK, {}, "ok", true};
}

/// A listener whose handler fails for the path "/fail".
std::shared_ptr<HttpListener> failing_listener(Harness& harness) {
    return harness.listen({}, [](const std::shared_ptr<HttpServerConnection>& connection,
                                 const HttpRequestMessage& request) {
        if (request.target == "/fail") {
            fail();
        }
        connection->respond(ok());
    });
}

/// Sends bytes on a connection, and returns what is received until `done` is true or it has ended.
std::string exchange(Harness& harness, const std::string& address, const std::string& bytes,
                     const std::function<bool(const std::string&)>& done) {
    const std::shared_ptr<RawPeer> peer = harness.caller(address);
    peer->on_bytes = [&harness, &peer, &done] {
        if (peer->ended || done(peer->received)) {
            harness.loop.stop();
        }
    };
    peer->send(bytes);
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    return peer->received;
}

constexpr const char* FAILING_REQUEST = "GET /fail HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Runs a call on a channel to a target that answers, and one more on another channel. Both end.
std::vector<CallStatus> run_calls(const std::function<void(ChannelCall&)>& spoil) {
    Harness harness;
    const std::shared_ptr<HttpListener> target =
        harness.listen({}, [](const std::shared_ptr<HttpServerConnection>& connection,
                              const HttpRequestMessage&) { connection->respond(ok()); });
    std::vector<CallStatus> statuses;
    std::vector<std::shared_ptr<HttpChannel>> channels;
    for (const bool is_spoiled : {true, false}) {
        ChannelCall call;
        call.make_request = [] {
            return std::string(REQUEST);
        };
        call.on_sent = [] {
        };
        call.on_end = [&](CallStatus status, const HttpResponseMessage&) {
            statuses.push_back(status);
            if (statuses.size() == 2) {
                harness.loop.stop();
            }
        };
        if (is_spoiled) {
            spoil(call);
        }
        channels.push_back(HttpChannel::open(harness.loop, target->address(), [](HttpChannel&) {}));
        channels.back()->start(std::move(call));
    }
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    target->close();
    return statuses;
}

}  // namespace

// Guards against an exception that leaves the loop and ends the process.
TEST_CASE("tasks and timers after one that fails still run") {
    expect_exceptions(2);
    Harness harness;
    int runs = 0;
    harness.loop.post(fail);
    harness.loop.post([&runs] { ++runs; });
    harness.loop.run_at(monotonic_now(), fail);
    harness.loop.run_at(monotonic_now(), [&] {
        ++runs;
        harness.loop.stop();
    });
    harness.loop.run();
    CHECK(runs == 2);
}

// Guards against a caller that waits for a response that nobody will send.
TEST_CASE("a request whose handler fails gets a response that promises nothing") {
    expect_exceptions(1);
    Harness harness;
    const std::shared_ptr<HttpListener> listener = failing_listener(harness);
    const std::string received = exchange(harness, listener->address(), FAILING_REQUEST,
                                          [](const std::string&) { return false; });
    CHECK(received.find("HTTP/1.1 502 ") == 0);
    CHECK(received.find("may have run") != std::string::npos);
    listener->close();
}

// Guards against a queue of buffered requests that stops with the one that fails.
TEST_CASE("requests that were received together are served after one that fails") {
    expect_exceptions(1);
    Harness harness;
    const std::shared_ptr<HttpListener> listener = failing_listener(harness);
    const std::shared_ptr<RawPeer> failing = harness.caller(listener->address());
    failing->send(std::string(REQUEST) + FAILING_REQUEST);
    const std::string received =
        exchange(harness, listener->address(), std::string(REQUEST) + REQUEST + REQUEST,
                 [](const std::string& bytes) {
                     std::size_t responses = 0;
                     for (std::size_t at = bytes.find("200 OK"); at != std::string::npos;
                          at = bytes.find("200 OK", at + 1)) {
                         ++responses;
                     }
                     return responses == 3;
                 });
    CHECK(received.size() > 3);
    listener->close();
}

// Guards against a call that never ends because one of its callbacks failed.
TEST_CASE("a call whose callback fails ends, and others are not touched") {
    expect_exceptions(3);
    const std::vector<CallStatus> unmade = run_calls([](ChannelCall& call) {
        call.make_request = []() -> std::string {
            fail();
        };
    });
    CHECK(unmade == std::vector<CallStatus>{CallStatus::broken, CallStatus::answered});
    const std::vector<CallStatus> unsent =
        run_calls([](ChannelCall& call) { call.on_sent = fail; });
    CHECK(std::count(unsent.begin(), unsent.end(), CallStatus::broken) == 1);
    const std::vector<CallStatus> unread = run_calls([](ChannelCall& call) {
        call.owner_of = [](const HttpResponseMessage&) -> ResponseOwner {
            fail();
        };
    });
    CHECK(std::count(unread.begin(), unread.end(), CallStatus::broken) == 1);
}

// Guards against exceptions that pass through the functions of the HTTP/2 library.
TEST_CASE("a stream between nodes whose handler fails ends its session") {
    for (const bool server_fails : {true, false}) {
        INFO(server_fails);
        expect_exceptions(1);
        Harness harness;
        Metrics metrics;
        TrafficCounters traffic{metrics.counter("in"), metrics.counter("out")};
        const std::shared_ptr<PeerServer> server =
            std::get<std::shared_ptr<PeerServer>>(PeerServer::listen(
                harness.loop, "127.0.0.1:0",
                [server_fails](const std::shared_ptr<ServerStream>& stream, const std::string&,
                               const std::string&) {
                    if (server_fails) {
                        fail();
                    }
                    stream->write("bytes");
                    stream->finish();
                },
                traffic));
        PeerPool peers(harness.loop, traffic);
        std::optional<StreamStatus> status;
        StreamCallbacks callbacks;
        callbacks.on_data = [](std::string_view) {
            fail();
        };
        callbacks.on_end = [&](StreamStatus end) {
            status = end;
            harness.loop.stop();
        };
        peers.call(server->address(), "/path", "body", std::move(callbacks));
        harness.loop.run();
        CHECK_FALSE(harness.hung);
        CHECK(status == StreamStatus::broken);
        server->close();
    }
}

// Guards against a request that keeps its caller waiting, and its memory, because a part of its
// work has failed.
TEST_CASE("a request of which a part fails is answered, and the next one is served") {
    expect_exceptions(1);
    Harness harness;
    Metrics metrics;
    FrontState front(harness.loop, metrics);
    const std::shared_ptr<HttpListener> target =
        harness.listen({}, [](const std::shared_ptr<HttpServerConnection>& connection,
                              const HttpRequestMessage& request) {
            HttpResponseMessage response = ok();
            response.headers = {
                {names::REQUEST_ID, std::string(find_header(request.headers, names::REQUEST_ID))},
                {names::SIGNATURE, "signature"}};
            connection->respond(std::move(response));
        });
    RouteTable table;
    table.version = 1;
    table.routes.push_back({"find",
                            "h",
                            "/",
                            true,
                            from_ms(2000),
                            from_ms(500),
                            0,
                            2,
                            {{"service", 1.0}},
                            {},
                            0,
                            1.0,
                            {}});
    table.services.push_back({"service", "/health", 100, Duration::zero(), 0.0});
    TargetRegistry registry;
    TargetEntry entry;
    entry.id = "target";
    entry.service = "service";
    entry.address = target->address();
    entry.data_centre = "east";
    upsert(registry, entry);
    front.view = make_view({table, registry, {}, {{"east", "east"}}}, front.services, front.targets,
                           monotonic_now());
    front.budgets.resize(front.services.size());
    // An answer refutes this crash, which is to be reported.
    add_crash(front.quarantine, "report", {fingerprint("GET", "h", "/crash", ""), "service"},
              monotonic_now());
    front.on_crash_refuted = [](const std::string&) {
        fail();
    };
    const std::shared_ptr<HttpListener> callers =
        harness.listen({}, [&front](const std::shared_ptr<HttpServerConnection>& connection,
                                    HttpRequestMessage request) {
            RequestHandler::serve(front, connection, std::move(request));
        });
    const auto request = [](const std::string& path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + names::REQUEST_ID + ": r1\r\n\r\n";
    };
    const std::string received = exchange(
        harness, callers->address(), request("/crash") + request("/other"),
        [](const std::string& bytes) { return bytes.find("200 OK") != std::string::npos; });
    CHECK(received.find("HTTP/1.1 502 ") == 0);
    CHECK(received.find("may have run") != std::string::npos);
    CHECK(received.find("HTTP/1.1 200 OK") != std::string::npos);
    CHECK(front.open_requests.empty());
    CHECK(front.counters.internal_errors == 1);
    CHECK(front.targets.states[0].outstanding == 0);
    callers->close();
    target->close();
}

}  // namespace ebonymount
