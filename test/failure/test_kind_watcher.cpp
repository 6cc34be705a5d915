// Following the platform's store through lost history, refusals and silence, against a scripted
// store on loopback.
#include <catch2/catch.hpp>

#include "front/kind_watcher.h"
#include "io/http_listener.h"

namespace ebonymount {
namespace {

/// Ends a test that hangs; no check depends on the time that passes.
constexpr Duration HANG_LIMIT = from_ms(20000);

/// Answers calls with scripted answers, in order; a call without one is left waiting.
class ScriptedStore {
public:
    explicit ScriptedStore(std::vector<HttpResponseMessage> answers)
        : m_loop(LoopThread::caller), m_answers(std::move(answers)) {
        m_listener = std::get<std::shared_ptr<HttpListener>>(HttpListener::listen(
            m_loop, "127.0.0.1:0", {},
            [this](const std::shared_ptr<HttpServerConnection>& connection,
                   const HttpRequestMessage& request) { take(connection, request); }));
        m_loop.run_at(monotonic_now() + HANG_LIMIT, [this] { m_loop.stop(); });
    }

    /// Follows targets until the answers are used up and one more call came.
    void follow() {
        KindWatcherOptions options;
        options.kind = platform::Kind::targets;
        options.store_address = m_listener->address();
        options.pace.watch_wait = from_ms(2000);
        options.pace.pause_after_changes = from_ms(1);
        options.is_probe = true;
        const KindWatcherHandlers handlers{[this](KindUpdate update) {
                                               if (update.is_list) {
                                                   lists.push_back(std::move(update.objects));
                                                   outages.push_back(update.after_outage);
                                               } else {
                                                   changes.push_back(std::move(update.objects));
                                               }
                                           },
                                           [this] {
                                               ++recoveries;
                                           }};
        m_watcher = KindWatcher::start(m_loop, options, handlers, m_metrics);
        m_loop.run();
        m_watcher->stop();
        m_listener->close();
    }

    std::vector<std::string> calls;
    std::vector<std::vector<platform::StoredObject>> lists;
    std::vector<bool> outages;
    int recoveries = 0;
    std::vector<std::vector<platform::StoredObject>> changes;

private:
    void take(const std::shared_ptr<HttpServerConnection>& connection,
              const HttpRequestMessage& request) {
        calls.push_back(request.target);
        if (calls.size() > m_answers.size()) {
            m_loop.stop();
            return;
        }
        const HttpResponseMessage& answer = m_answers[calls.size() - 1];
        if (answer.status == 0) {
            connection->drop();
        } else {
            connection->respond(answer);
        }
    }

    EventLoop m_loop;
    Metrics m_metrics;
    std::vector<HttpResponseMessage> m_answers;
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<KindWatcher> m_watcher;
};

HttpResponseMessage answer(int status, const std::string& body) {
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

TEST_CASE("all pages are read, and changes are heard from the first page on") {
    ScriptedStore store({answer(200, list(object("a"), true, 5)),
                         answer(200, list(object("b"), false, 7)),
                         answer(200, R"({"events": [{"deleted": true, "object": )" + object("a") +
                                         R"(}], "store_revision": 8})")});
    store.follow();
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

TEST_CASE("in calm times watches allow recent data, lists never do") {
    ScriptedStore store({answer(200, list("", false, 5))});
    store.follow();
    REQUIRE(store.calls.size() == 2);
    CHECK(store.calls[0].find("allow_stale") == std::string::npos);
    CHECK(store.calls[1].find("allow_stale=1") != std::string::npos);
}

TEST_CASE("when the history is gone, the list and the next watches are read current") {
    // While a store drops its history, recent data lagged by 6 s and an old version came back.
    ScriptedStore store(
        {answer(200, list("", false, 5)), answer(410, ""), answer(200, list("", false, 9))});
    store.follow();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.calls[2] == "/ebonymount/objects/servers");
    CHECK(store.calls[3].find("watch=9&") != std::string::npos);
    CHECK(store.calls[3].find("allow_stale") == std::string::npos);
}

TEST_CASE("a watch that is cut off is no outage, and is followed by a current list") {
    ScriptedStore store(
        {answer(200, list("", false, 5)), answer(0, ""), answer(200, list("", false, 6))});
    store.follow();
    REQUIRE(store.lists.size() == 2);
    CHECK_FALSE(store.outages[1]);
    CHECK(store.calls[3].find("allow_stale") == std::string::npos);
}

TEST_CASE("a store that refuses for long was out of reach when it answers again") {
    ScriptedStore store({answer(200, list("", false, 5)), answer(503, ""), answer(503, ""),
                         answer(503, ""), answer(429, ""), answer(503, ""), answer(503, ""),
                         answer(503, ""), answer(503, ""), answer(503, ""), answer(503, ""),
                         answer(200, list("", false, 6))});
    store.follow();
    REQUIRE(store.lists.size() == 2);
    CHECK(store.outages[1]);
    CHECK(store.recoveries == 1);
}

TEST_CASE("an answer that is no list is read again") {
    ScriptedStore store({answer(200, "garbage"), answer(200, list(object("a"), false, 5))});
    store.follow();
    REQUIRE(store.lists.size() == 1);
    CHECK(store.lists[0].size() == 1);
}

}  // namespace ebonymount
