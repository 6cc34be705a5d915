// Timers and tasks of an event loop on the test's thread.
#include <catch2/catch.hpp>

#include "io/event_loop.h"

namespace ebonymount {

// Guards against a timer that is due again at once and keeps the loop from its tasks and sockets.
TEST_CASE("a timer that is set again for a time that has passed lets tasks run in between") {
    EventLoop loop(LoopThread::caller);
    constexpr int MAX_RUNS = 1000;
    int runs = 0;
    bool task_ran = false;
    const Time due = monotonic_now();
    std::function<void()> set_again;
    set_again = [&] {
        ++runs;
        loop.post([&] { task_ran = true; });
        if (task_ran || runs == MAX_RUNS) {
            loop.stop();
            return;
        }
        loop.run_at(due, set_again);
    };
    loop.run_at(due, set_again);
    loop.run();
    CHECK(runs == 2);
}

TEST_CASE("timers that are due run in the order of their times") {
    EventLoop loop(LoopThread::caller);
    const Time now = monotonic_now();
    std::vector<int> order;
    loop.run_at(now, [&] {
        order.push_back(2);
        loop.stop();
    });
    loop.run_at(now - from_ms(5), [&] { order.push_back(1); });
    loop.run();
    CHECK(order == std::vector<int>{1, 2});
}

}  // namespace ebonymount
