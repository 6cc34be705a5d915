// Trials of quarantined requests: when one is due, and how many nodes may make.
#include <catch2/catch.hpp>

#include "policy/quarantine_trial.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);
constexpr std::uint64_t REQUEST = 77;

CrashQuarantine quarantine_with_crashes(int crashes) {
    CrashQuarantine quarantine;
    for (int i = 0; i < crashes; ++i) {
        add_crash(quarantine, "report-" + std::to_string(i), {REQUEST, "a"}, START);
    }
    return quarantine;
}

}  // namespace

TEST_CASE("a trial is due some seconds after the last crash, and not before") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    CHECK_FALSE(begin_claim(trials, {}, REQUEST, START + TRIAL_DELAY).has_value());
    CHECK_FALSE(
        begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY - from_ms(1)).has_value());
    CHECK(begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY) == TrialClaim{REQUEST, 1});
    // The store has not answered the first claim yet.
    CHECK_FALSE(begin_claim(trials, quarantine, REQUEST, START + 2 * TRIAL_DELAY).has_value());
}

TEST_CASE("only a granted claim lets one request through") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    const Time now = START + TRIAL_DELAY;
    const TrialClaim claim = *begin_claim(trials, quarantine, REQUEST, now);
    CHECK_FALSE(take_trial(trials, REQUEST));
    end_claim(trials, claim, true);
    CHECK(take_trial(trials, REQUEST));
    CHECK_FALSE(take_trial(trials, REQUEST));
    end_trial(trials, REQUEST, TrialEnd::done);
    CHECK_FALSE(take_trial(trials, REQUEST));
}

TEST_CASE("a claim that another node has, or that failed, lets nothing through") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    Time now = START + TRIAL_DELAY;
    const TrialClaim first = *begin_claim(trials, quarantine, REQUEST, now);
    add_claim(trials, first, now);
    end_claim(trials, first, false);
    CHECK_FALSE(take_trial(trials, REQUEST));
    CHECK(next_trial_at(trials, quarantine, REQUEST) == now + TRIAL_DELAY);
    now += TRIAL_DELAY;
    CHECK(begin_claim(trials, quarantine, REQUEST, now) == TrialClaim{REQUEST, 2});
}

TEST_CASE("after the last trial a request stays quarantined") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    for (std::int64_t number = 1; number <= MAX_TRIALS; ++number) {
        add_claim(trials, {REQUEST, number}, START);
    }
    CHECK_FALSE(next_trial_at(trials, quarantine, REQUEST).has_value());
    remove_claim(trials, {REQUEST, 1});
    CHECK(begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY) == TrialClaim{REQUEST, 1});
}

TEST_CASE("a trial that reached no target is made again, one that was refused only once") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    end_claim(trials, *begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY), true);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(take_trial(trials, REQUEST));
        end_trial(trials, REQUEST, TrialEnd::not_sent);
    }
    REQUIRE(take_trial(trials, REQUEST));
    end_trial(trials, REQUEST, TrialEnd::refused);
    REQUIRE(take_trial(trials, REQUEST));
    end_trial(trials, REQUEST, TrialEnd::refused);
    CHECK_FALSE(take_trial(trials, REQUEST));
}

TEST_CASE("a claim that is removed takes back the trial that it granted") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    const TrialClaim claim = *begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY);
    add_claim(trials, claim, START + TRIAL_DELAY);
    end_claim(trials, claim, true);
    remove_claim(trials, claim);
    CHECK_FALSE(take_trial(trials, REQUEST));
    CHECK(trials.claims.empty());
}

// Guards against a call to the store for each refused request while the store is unavailable.
TEST_CASE("a claim that has failed is made again after a pause") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    const Time now = START + TRIAL_DELAY;
    const TrialClaim claim = *begin_claim(trials, quarantine, REQUEST, now);
    fail_claim(trials, claim, now);
    CHECK_FALSE(take_trial(trials, REQUEST));
    const Time again = now + FAILED_CLAIM_PAUSE;
    CHECK(next_trial_at(trials, quarantine, REQUEST) == again);
    CHECK_FALSE(begin_claim(trials, quarantine, REQUEST, again - from_ms(1)).has_value());
    CHECK(begin_claim(trials, quarantine, REQUEST, again) == claim);
}

// Guards against more trials of a request than with the store: the trial that nodes vote on counts
// like one that is claimed in the store.
TEST_CASE("a trial granted by votes lets one request through and counts with the others") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    QuarantineTrials trials;
    Time now = START + TRIAL_DELAY;
    const TrialClaim claim = *begin_claim(trials, quarantine, REQUEST, now);
    CHECK(grant_by_vote(trials, claim, now) == TrialClaim{REQUEST, VOTED_TRIAL});
    CHECK_FALSE(grant_by_vote(trials, claim, now).has_value());
    CHECK(take_trial(trials, REQUEST));
    CHECK_FALSE(take_trial(trials, REQUEST));
    end_trial(trials, REQUEST, TrialEnd::done);
    now += TRIAL_DELAY;
    const TrialClaim second = *begin_claim(trials, quarantine, REQUEST, now);
    CHECK(second == TrialClaim{REQUEST, 1});
    add_claim(trials, second, now);
    end_claim(trials, second, true);
    CHECK(take_trial(trials, REQUEST));
    end_trial(trials, REQUEST, TrialEnd::done);
    CHECK_FALSE(begin_claim(trials, quarantine, REQUEST, now + 2 * TRIAL_DELAY).has_value());
}

// Guards against a fourth trial: a node that knows no claims of others claims no number but those
// of the store, and the number of the votes is none of these.
TEST_CASE("claims in the store and the trial granted by votes have different numbers") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    for (std::int64_t known = 0; known < MAX_TRIALS; ++known) {
        QuarantineTrials trials;
        for (std::int64_t number = 1; number <= known; ++number) {
            add_claim(trials, {REQUEST, number}, START);
        }
        CHECK(begin_claim(trials, quarantine, REQUEST, START + TRIAL_DELAY)->number < VOTED_TRIAL);
    }
}

TEST_CASE("a claim is parsed from its name, and other names are not claims") {
    const TrialClaim claim{18446744073709551615U, 2};
    CHECK(parse_trial_claim(trial_claim_name(claim)) == claim);
    for (const char* name :
         {"", "trial", "trial.", "trial.5", "trial.5.", "trial.5.x", "trial.5.1.x", "trial. 5.1",
          "trial.-5.1", "trial.05.1", "5.1", "77.5.3.node"}) {
        CHECK_FALSE(parse_trial_claim(name).has_value());
    }
    CHECK_FALSE(parse_crash_report(trial_claim_name(claim)).has_value());
}

// Guards against two nodes that hold the same trial: the store has lost the claim of the first one
// and granted its number to another.
TEST_CASE("a trial whose claim the store has lost is given up unless a request has taken it") {
    const CrashQuarantine quarantine = quarantine_with_crashes(3);
    for (const TrialPhase phase :
         {TrialPhase::claiming, TrialPhase::granted, TrialPhase::running}) {
        for (const bool is_in_store : {false, true}) {
            CAPTURE(static_cast<int>(phase), is_in_store);
            QuarantineTrials trials;
            const Time now = START + TRIAL_DELAY;
            const TrialClaim claim = *begin_claim(trials, quarantine, REQUEST, now);
            add_claim(trials, claim, now);
            trials.own.at(REQUEST).phase = phase;
            const std::set<std::string> in_store =
                is_in_store ? std::set<std::string>{trial_claim_name(claim)}
                            : std::set<std::string>{};
            const std::vector<TrialClaim> given_up = void_unused_trials(trials, in_store);
            const bool is_given_up = !is_in_store && phase != TrialPhase::running;
            CHECK(given_up.size() == (is_given_up ? 1 : 0));
            CHECK(trials.own.count(REQUEST) == (is_given_up ? 0 : 1));
            CHECK(trials.claims.count(REQUEST) == (is_given_up ? 0 : 1));
        }
    }
}

}  // namespace ebonymount
