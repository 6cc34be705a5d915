// Which nodes read the platform's store, and the timing of relayed updates.
#include <catch2/catch.hpp>

#include <set>

#include "policy/store_readers.h"
#include "policy/target_registry.h"

namespace ebonymount {
namespace {

const Time NOW = Time{} + from_ms(1000000);

std::vector<Member> members(std::size_t count, const std::string& data_centre) {
    std::vector<Member> result;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        result.push_back({data_centre + "-" + number, data_centre, "10.0.0." + number + ":7740"});
    }
    return result;
}

std::vector<Member> readers_among(const std::vector<Member>& all) {
    std::vector<Member> readers;
    for (const Member& member : all) {
        if (readers_for(member, all, {}, NOW).empty()) {
            readers.push_back(member);
        }
    }
    return readers;
}

}  // namespace

TEST_CASE("two nodes of a data centre read the store, the others follow one of them") {
    std::vector<Member> all = members(12, "east");
    const std::vector<Member> west = members(12, "west");
    all.insert(all.end(), west.begin(), west.end());
    const std::vector<Member> readers = readers_among(all);
    CHECK(readers.size() == 2 * READERS_PER_DATA_CENTRE);
    std::map<std::string, int> followers;
    for (const Member& member : all) {
        const std::vector<Member> choice = readers_for(member, all, {}, NOW);
        CHECK(has_followers(member, all) == choice.empty());
        if (!choice.empty()) {
            CHECK(choice.front().data_centre == member.data_centre);
            CHECK(std::find(readers.begin(), readers.end(), choice.front()) != readers.end());
            ++followers[choice.front().node];
        }
    }
    // The hash of a follower's name selects its reader, so both readers are followed.
    CHECK(followers.size() == readers.size());
}

TEST_CASE("in a small data centre every node reads the store") {
    const std::vector<Member> few = members(READERS_PER_DATA_CENTRE + MIN_FOLLOWERS - 1, "east");
    for (const Member& member : few) {
        CHECK(readers_for(member, few, {}, NOW).empty());
        CHECK_FALSE(has_followers(member, few));
    }
}

TEST_CASE(
    "a follower switches to the other reader first, and reads the store itself as a last resort") {
    const std::vector<Member> all = members(10, "east");
    const std::vector<Member> readers = readers_among(all);
    for (const Member& member : all) {
        std::vector<Member> choice = readers_for(member, all, {}, NOW);
        if (choice.empty()) {
            continue;
        }
        AvoidedReaders avoided;
        avoided[choice.front().node] = NOW + from_ms(1);
        const std::vector<Member> second = readers_for(member, all, avoided, NOW);
        REQUIRE_FALSE(second.empty());
        CHECK(std::find(readers.begin(), readers.end(), second.front()) != readers.end());
        CHECK(second.front() != choice.front());
        // The reader that failed is followed again later.
        CHECK(readers_for(member, all, avoided, NOW + from_ms(1)) == choice);
        for (const Member& other : choice) {
            avoided[other.node] = NOW + from_ms(1);
        }
        CHECK(readers_for(member, all, avoided, NOW).empty());
    }
}

TEST_CASE("a node without an address for followers is not followed") {
    std::vector<Member> all = members(10, "east");
    for (const Member& reader : readers_among(all)) {
        for (Member& member : all) {
            if (member.node == reader.node) {
                member.address.clear();
            }
        }
    }
    for (const Member& member : all) {
        for (const Member& choice : readers_for(member, all, {}, NOW)) {
            CHECK_FALSE(choice.address.empty());
        }
    }
}

TEST_CASE("the timing leaves time to read the store within the bounds") {
    // The bounds of the two deployment sizes.
    for (const auto& [config_apply, stable_window] :
         {std::pair(from_ms(3000), from_ms(4000)), std::pair(from_ms(5000), from_ms(6000))}) {
        const StoreReadTiming timing = store_read_timing(config_apply, stable_window);
        // A silently lost connection is detected before the node counts as in contact again.
        CHECK(timing.watch_wait + 2 * STORE_CALL_TIMEOUT < stable_window);
        // A quiet reader that works is never dropped.
        CHECK(timing.reader_pause + timing.probe_wait + timing.heartbeat < timing.stale_age);
        CHECK(timing.stale_age < timing.max_age);
        // If its reader is lost silently, a follower still reads the store in time.
        CHECK(timing.max_age + 2 * STORE_CALL_TIMEOUT < config_apply);
        // Recent data is about a second old; a change that was missed waits for one more pause.
        CHECK(from_ms(1000) + timing.change_pause + STORE_CALL_TIMEOUT < config_apply);
    }
}

// Guards against bounds that add up to more than a leaving target's: the wait for a current read,
// two reads, and the time for which a removed target is still used.
TEST_CASE("data is proven in time for its targets and data centres to be left") {
    const Duration reads = from_ms(100);
    for (const auto& [drain, evacuate] :
         {std::pair(from_ms(3000), from_ms(5000)), std::pair(from_ms(5000), from_ms(5000)),
          std::pair(from_ms(2000), from_ms(8000)), std::pair(from_ms(6000), from_ms(4000))}) {
        const ProofTiming alone = proof_timing(drain, evacuate, false);
        CHECK(alone.interval <= alone.targets);
        CHECK(alone.interval <= alone.evacuations);
        CHECK(alone.targets + reads < latest_use(Time{}, drain) - Time{});
        CHECK(alone.evacuations + reads < evacuate);
        const ProofTiming followed = proof_timing(drain, evacuate, true);
        CHECK(followed.targets + reads + REMOVAL_GRACE <= drain);
        CHECK(followed.evacuations + reads < evacuate);
    }
}

// Guards against proofs of data that a reader's own calls are about to show as complete: a read
// that may be a second old ends after a probe's wait.
TEST_CASE("a reader's calls prove its data before a proof is due") {
    const StoreReadTiming timing = store_read_timing(from_ms(3000), from_ms(4000));
    const ProofTiming followed = proof_timing(from_ms(3000), from_ms(5000), true);
    CHECK(from_ms(1000) + timing.probe_wait < followed.targets);
}

}  // namespace ebonymount
