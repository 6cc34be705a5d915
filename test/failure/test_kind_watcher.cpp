// The watcher against a scripted store on loopback that loses its history, refuses calls or does
// not respond.
#include <catch2/catch.hpp>

#include "catch_main.h"
#include "front/kind_watcher.h"
#include "io/http_listener.h"

namespace ebonymount {
namespace {

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(20000);

/// Responds to calls with scripted responses, in order; a status of 0 closes the connection. A call
/// without a scripted response gets none.
class ScriptedStore {
public:
    explicit ScriptedStore(std::vector<HttpResponseMessage> responses)
        : m_loop(LoopThread::caller), m_responses(std::move(responses)) {
        m_listener = std::get<std::shared_ptr<HttpListener>>(HttpListener::listen(
            m_loop, "127.0.0.1:0", {},
            [this](const std::shared_ptr<HttpServerConnection>& connection,
                   const HttpRequestMessage& request) { on_call(connection, request); }));
        m_loop.run_at(monotonic_now() + HANG_LIMIT, [this] { m_loop.stop(); });
    }

    /// Watches targets until the responses are used up and one more call has arrived.
    void run() {
        KindWatcherOptions options;
        options.kind = platform::Kind::targets;
        options.store_address = m_listener->address();
        options.timing.watch_wait = from_ms(2000);
        options.timing.pause_after_changes = from_ms(1);
        options.is_probe = true;
        const KindWatcherHandlers handlers{[this](KindUpdate update) {
                                               if (updates++ == failing_update) {
                                                   throw std::runtime_error("update");
                                               }
                                               positions.push_back(update.position);
                                               if (update.is_list) {
                                                   lists.push_back(std::move(update.objects));
                                                   outages.push_back(update.after_outage);
                                               } else {
                                                   changes.push_back(std::move(update.objects));
                                               }
                                           },
                                           [this] { ++recoveries; }, nullptr};
        m_watcher = KindWatcher::start(m_loop, options, handlers, m_metrics);
        m_loop.run();
        m_watcher->stop();
        m_listener->close();
    }

    std::vector<std::string> calls;
    /// When each call arrived.
    std::vector<Time> call_times;
    std::vector<std::vector<platform::StoredObject>> lists;
    /// For each list and change, the position of the store after it.
    std::vector<StorePosition> positions;
    /// For each list, whether it is marked as read after an outage.
    std::vector<bool> outages;
    int recoveries = 0;
    int updates = 0;
    /// Time that each response takes.
    Duration response_time{};
    /// Number of the update at which the handler fails; -1 for none.
    int failing_update = -1;
    std::vector<std::vector<platform::StoredObject>> changes;

private:
    void on_call(const std::shared_ptr<HttpServerConnection>& connection,
                 const HttpRequestMessage& request) {
        calls.push_back(request.target);
        call_times.push_back(monotonic_now());
        if (calls.size() > m_responses.size()) {
            m_loop.stop();
            return;
        }
        const HttpResponseMessage& response = m_responses[calls.size() - 1];
        if (response.status == 0) {
            connection->drop();
            return;
        }
        connection->on_caller_gone([] {});
        m_loop.run_at(monotonic_now() + response_time,
                      [connection, response] { connection->respond(response); });
    }

    EventLoop m_loop;
    Metrics m_metrics;
    std::vector<HttpResponseMessage> m_responses;
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<KindWatcher> m_watcher;
};

/// The response, with a header that states the store's era.
HttpResponseMessage in_era(const std::string& era, HttpResponseMessage response) {
    response.headers.push_back({"Store-Era", era});
    return response;
}

HttpResponseMessage response(int status, const std::string& body) {
    HttpResponseMessage made;
    made.status = status;
    made.body = body;
    return made;
}

std::string object(const std::string& name) {
    return R"({"meta": {"name": ")" + name + R"(", "revision": 1}, "spec": {}})";
}

std::string list(const std::string& items, bool has_more, int revision) {
    return R"({"items": [)" + items + R"(], "has_more": )" + (has_more ? "true" : "false") +
           R"(, "store_revision": )" + std::to_string(revision) + "}";
}

}  // namespace

TEST_CASE("all pages are read, and the watch starts from the first page's revision") {
    ScriptedStore store({response(200, list(object("a"), true, 5)),
                         response(200, list(object("b"), false, 7)),
                         response(200, R"({"events": [{"deleted": true, "object": )" + object("a") +
                                           R"(}], "store_revision": 8})")});
    store.run();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.calls[0] == "/ebonymount/objects/servers");
    CHECK(store.calls[1] == "/ebonymount/objects/servers?after=a");
    CHECK(store.calls[2].find("watch=5&") != std::string::npos);
    CHECK(store.calls[3].find("watch=8&") != std::string::npos);
    REQUIRE(store.lists.size() == 1);
    CHECK(store.lists[0].size() == 2);
    REQUIRE(store.changes.size() == 1);
    CHECK(store.changes[0][0].removed);
}

TEST_CASE("a list asks for current data, a watch allows recent data while the store works") {
    ScriptedStore store({response(200, list("", false, 5))});
    store.run();
    REQUIRE(store.calls.size() == 2);
    CHECK(store.calls[0].find("allow_stale") == std::string::npos);
    CHECK(store.calls[1].find("allow_stale=1") != std::string::npos);
}

TEST_CASE("after the history is gone, the list and the next watch ask for current data") {
    // While a store dropped its history, recent data lagged by 6 s and an old version reappeared.
    ScriptedStore store(
        {response(200, list("", false, 5)), response(410, ""), response(200, list("", false, 9))});
    store.run();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.calls[2] == "/ebonymount/objects/servers");
    CHECK(store.calls[3].find("watch=9&") != std::string::npos);
    CHECK(store.calls[3].find("allow_stale") == std::string::npos);
}

TEST_CASE("a broken watch is not an outage, and the next watch asks for current data") {
    ScriptedStore store(
        {response(200, list("", false, 5)), response(0, ""), response(200, list("", false, 6))});
    store.run();
    REQUIRE(store.lists.size() == 2);
    CHECK_FALSE(store.outages[1]);
    CHECK(store.calls[3].find("allow_stale") == std::string::npos);
}

TEST_CASE("a list read after long failures is marked as read after an outage") {
    // The pauses after the ten failures add up to 1.9 s; an outage lasts for more than 1.5 s.
    ScriptedStore store({response(200, list("", false, 5)), response(503, ""), response(503, ""),
                         response(503, ""), response(429, ""), response(503, ""), response(503, ""),
                         response(503, ""), response(503, ""), response(503, ""), response(503, ""),
                         response(200, list("", false, 6))});
    store.run();
    REQUIRE(store.lists.size() == 2);
    CHECK(store.outages[1]);
    CHECK(store.recoveries == 1);
}

// Guards against a watcher that makes no further call because an update could not be applied.
TEST_CASE("a list whose update fails is read again") {
    expect_exceptions(2);
    for (const int failing_update : {0, 1}) {
        ScriptedStore store({response(200, list(object("a"), false, 5)),
                             response(200, R"({"events": [{"deleted": true, "object": )" +
                                               object("a") + R"(}], "store_revision": 8})"),
                             response(200, list(object("b"), false, 9))});
        store.failing_update = failing_update;
        store.run();
        REQUIRE(store.calls.size() == 4);
        REQUIRE_FALSE(store.lists.empty());
        CHECK(store.calls[failing_update == 0 ? 1 : 2] == "/ebonymount/objects/servers");
    }
}

TEST_CASE("a malformed list is read again") {
    ScriptedStore store({response(200, "garbage"), response(200, list(object("a"), false, 5))});
    store.run();
    REQUIRE(store.lists.size() == 1);
    CHECK(store.lists[0].size() == 1);
}

// Guards against a return from an older copy that goes unnoticed because the revisions have passed
// the old ones again, or that is answered with 410.
TEST_CASE("a watch that ends in a later era is followed by a list, whatever its revision") {
    const std::string change = R"({"events": [{"deleted": false, "object": )" + object("x") +
                               R"(}], "store_revision": 60})";
    for (const HttpResponseMessage& end :
         {response(200, change), response(410, ""), response(503, "")}) {
        CAPTURE(end.status);
        ScriptedStore store({in_era("1", response(200, list(object("a"), false, 50))),
                             in_era("2", end),
                             in_era("2", response(200, list(object("b"), false, 20)))});
        store.run();
        REQUIRE(store.calls.size() == 4);
        CHECK(store.calls[2] == "/ebonymount/objects/servers");
        CHECK(store.calls[3].find("watch=20&") != std::string::npos);
        CHECK(store.calls[3].find("allow_stale") == std::string::npos);
        CHECK(store.changes.empty());
        CHECK(store.positions.back() == StorePosition{2, 20});
    }
}

// Guards against late responses, such as recent reads, that bring back what the store has undone.
TEST_CASE("a response of an earlier era is not applied, and the list is read again") {
    const std::string change = R"({"events": [{"deleted": false, "object": )" + object("x") +
                               R"(}], "store_revision": 60})";
    ScriptedStore store({in_era("2", response(200, list(object("a"), false, 20))),
                         in_era("1", response(200, change)),
                         in_era("1", response(200, list(object("x"), false, 60))),
                         in_era("2", response(200, list(object("b"), false, 21)))});
    store.run();
    REQUIRE(store.lists.size() == 2);
    CHECK(store.lists[1].front().name == "b");
    CHECK(store.changes.empty());
    CHECK(store.positions.back() == StorePosition{2, 21});
}

TEST_CASE("a list whose pages are of two eras is read again from its start") {
    ScriptedStore store({in_era("1", response(200, list(object("a"), true, 50))),
                         in_era("2", response(200, list(object("b"), false, 20))),
                         in_era("2", response(200, list(object("c"), false, 20)))});
    store.run();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.calls[2] == "/ebonymount/objects/servers");
    REQUIRE(store.lists.size() == 1);
    REQUIRE(store.lists.front().size() == 1);
    CHECK(store.lists.front().front().name == "c");
}

// Guards against a header that cannot be read and is taken for a return of the store, or for none
// for ever.
TEST_CASE("a response whose era cannot be read counts as one of the known era") {
    const std::string change = R"({"events": [{"deleted": false, "object": )" + object("x") +
                               R"(}], "store_revision": 21})";
    ScriptedStore store({in_era("2", response(200, list(object("a"), false, 20))),
                         in_era("-7", response(200, change)),
                         response(200, R"({"events": [], "store_revision": 22})"),
                         in_era("3", response(410, "")),
                         in_era("3", response(200, list(object("b"), false, 9)))});
    store.run();
    REQUIRE(store.changes.size() == 1);
    CHECK(store.positions[1] == StorePosition{2, 21});
    REQUIRE(store.lists.size() == 2);
    CHECK(store.positions.back() == StorePosition{3, 9});
}

// Guards against one wrong header that makes a watcher refuse all responses after it.
TEST_CASE("a response with a number that is no era is used, and so are those after it") {
    const std::string change = R"({"events": [{"deleted": false, "object": )" + object("x") +
                               R"(}], "store_revision": 21})";
    ScriptedStore store({in_era("2", response(200, list(object("a"), false, 20))),
                         in_era("9007199254740991", response(200, change)),
                         in_era("2", response(200, R"({"events": [], "store_revision": 22})"))});
    store.run();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.lists.size() == 1);
    CHECK(store.changes.size() == 1);
    CHECK(store.calls[3].find("watch=22&") != std::string::npos);
}

// Guards against calls without a pause at a store whose history is always gone: each list is
// answered, and each watch after it ends with 410.
TEST_CASE("a store that answers each watch with 410 is called with growing pauses") {
    std::vector<HttpResponseMessage> responses;
    for (int i = 0; i < 4; ++i) {
        responses.push_back(response(200, list("", false, 5)));
        responses.push_back(response(410, ""));
    }
    ScriptedStore store(responses);
    store.run();
    REQUIRE(store.calls.size() == 9);
    // The list that follows the second, the third and the fourth 410.
    CHECK(store.call_times[4] - store.call_times[3] >= from_ms(100));
    CHECK(store.call_times[6] - store.call_times[5] >= from_ms(200));
    CHECK(store.call_times[8] - store.call_times[7] >= from_ms(400));
}

// Guards against a node that never gets a list from a store that is slow for all nodes at once:
// each call is given up after the same time and made again, which is what keeps the store slow.
TEST_CASE("a list that takes longer than the timeout of a call is waited for in the end") {
    const HttpResponseMessage first = response(200, list(object("a"), true, 5));
    const HttpResponseMessage second = response(200, list(object("b"), false, 5));
    // Two calls for the first page time out.
    ScriptedStore store({first, first, first, second, response(410, "")});
    store.response_time = 3 * STORE_CALL_TIMEOUT;
    store.run();
    REQUIRE_FALSE(store.lists.empty());
    CHECK(store.lists.front().size() == 2);
}

}  // namespace ebonymount
