// The budget of the memory that is held for callers: what it counts, and who lets go.
#include <catch2/catch.hpp>
#include <string>

#include "io/memory_budget.h"

namespace ebonymount {
namespace {

constexpr std::int64_t LIMIT = 1000;

/// A holder that lets go of everything.
struct Holder {
    explicit Holder(MemoryBudget& budget)
        : account(budget.open_account([this] {
              charge.set(0);
              ++releases;
          })),
          charge(account) {}

    std::shared_ptr<MemoryAccount> account;
    MemoryCharge charge;
    int releases = 0;
};

struct BudgetRun {
    BudgetRun() : loop(LoopThread::caller), budget(MemoryBudget::create(loop, LIMIT)) {}

    /// Runs what has been posted.
    void run() {
        loop.post([this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    std::shared_ptr<MemoryBudget> budget;
};

}  // namespace

TEST_CASE("a budget counts what all charges hold") {
    BudgetRun run;
    Holder first(*run.budget);
    first.charge.set(300);
    {
        MemoryCharge second(first.account);
        second.set(200);
        CHECK(run.budget->held_bytes() == 500);
        MemoryCharge moved = std::move(second);
        CHECK(run.budget->held_bytes() == 500);
        moved.set(100);
        CHECK(run.budget->held_bytes() == 400);
    }
    CHECK(run.budget->held_bytes() == 300);
    first.charge = MemoryCharge();
    CHECK(run.budget->held_bytes() == 0);
    MemoryCharge without_account;
    without_account.set(5000);
    CHECK_FALSE(without_account.must_wait());
    CHECK(run.budget->held_bytes() == 0);
}

TEST_CASE("a budget that is not exceeded releases nothing") {
    BudgetRun run;
    Holder holder(*run.budget);
    holder.charge.set(LIMIT);
    CHECK_FALSE(holder.charge.must_wait());
    run.run();
    CHECK(holder.releases == 0);
}

TEST_CASE("what is held for a moment only releases nothing") {
    BudgetRun run;
    Holder holder(*run.budget);
    holder.charge.set(LIMIT + 1);
    CHECK(holder.charge.must_wait());
    holder.charge.set(LIMIT);
    run.run();
    CHECK(holder.releases == 0);
    CHECK_FALSE(holder.charge.must_wait());
}

TEST_CASE("of accounts that progress alike, the largest let go until there is room") {
    BudgetRun run;
    Holder small(*run.budget);
    Holder large(*run.budget);
    Holder largest(*run.budget);
    const Time now = monotonic_now() + from_ms(1000);
    for (Holder* holder : {&small, &large, &largest}) {
        holder->charge.record_progress(now);
    }
    small.charge.set(10);
    large.charge.set(800);
    largest.charge.set(900);
    run.run();
    CHECK(small.releases == 0);
    CHECK(large.releases == 0);
    CHECK(largest.releases == 1);
    CHECK(run.budget->held_bytes() == 810);
    CHECK(run.budget->releases() == 1);
}

TEST_CASE("an account without progress lets go before a larger one that progresses") {
    BudgetRun run;
    Holder stalled(*run.budget);
    Holder moving(*run.budget);
    const Time now = monotonic_now();
    stalled.charge.record_progress(now - from_ms(60000));
    moving.charge.record_progress(now + from_ms(60000));
    stalled.charge.set(400);
    moving.charge.set(700);
    run.run();
    CHECK(stalled.releases == 1);
    CHECK(moving.releases == 0);
}

TEST_CASE("an account that keeps what it holds does not stop the others") {
    BudgetRun run;
    const std::shared_ptr<MemoryAccount> account = run.budget->open_account([] {});
    MemoryCharge kept(account);
    kept.set(2 * LIMIT);
    CHECK(kept.must_wait());
    run.run();
    CHECK(run.budget->is_exceeded());
    CHECK_FALSE(kept.must_wait());
}

TEST_CASE("a lower limit releases at once") {
    BudgetRun run;
    Holder holder(*run.budget);
    holder.charge.set(500);
    run.budget->set_limit(400);
    run.run();
    CHECK(holder.releases == 1);
}

}  // namespace ebonymount
