// Target groups and their leases: shares, takeover, assignment.
#include <catch2/catch.hpp>
#include <set>

#include "policy/group_lease.h"

using namespace ebonymount;

namespace {

const Duration LEASE = from_ms(6000);
const Time START = Time{} + from_ms(100000);

GroupLeaseRecord held_by(const std::string& node, std::int64_t epoch) {
    GroupLeaseRecord record;
    record.holder = node;
    record.epoch = epoch;
    record.released = false;
    return record;
}

}  // namespace

TEST_CASE("a lease allows its share until it lapses, then nothing, and half of it in an outage") {
    GroupLease lease;
    on_renewed(lease, LEASE, START);
    CHECK(usable_share(lease, START) == WHOLE_SHARE);
    CHECK(usable_share(lease, START + LEASE - Duration(1)) == WHOLE_SHARE);
    CHECK(usable_share(lease, START + LEASE) == 0);
    on_platform_failure(lease, START + from_ms(5000));
    CHECK(usable_share(lease, START + LEASE) == 0);
    on_platform_failure(lease, START + LEASE);
    CHECK(usable_share(lease, START + LEASE + from_ms(1000)) == WHOLE_SHARE / 2);
    on_lease_lost(lease);
    CHECK(usable_share(lease, START + LEASE + from_ms(1000)) == 0);
}

TEST_CASE("a lost lease cannot be renewed") {
    GroupLease lease;
    on_lease_lost(lease);
    on_renewed(lease, LEASE, START);
    CHECK(usable_share(lease, START) == 0);
}

TEST_CASE("a lease may be acquired once released, or after lease duration plus request time") {
    LeaseObservation observation;
    observation.unchanged_since = START;
    CHECK(may_acquire(observation, LEASE, from_ms(1500), START));
    observation.last_seen = held_by("a#1", 1);
    CHECK_FALSE(may_acquire(observation, LEASE, from_ms(1500), START + from_ms(7499)));
    CHECK(may_acquire(observation, LEASE, from_ms(1500), START + from_ms(7500)));
    observation.last_seen.released = true;
    CHECK(may_acquire(observation, LEASE, from_ms(1500), START));
}

TEST_CASE("shares of all holders without handovers never exceed the whole") {
    GroupLeaseRecord record = held_by("a#1", 1);
    std::int64_t lapsed_share_64ths = 0;
    for (int holder = 2; holder < 12; ++holder) {
        lapsed_share_64ths += record.share_64ths / 2;
        LeaseObservation observation;
        observation.last_seen = record;
        record = acquired_by(observation, "n" + std::to_string(holder), "");
        CHECK(lapsed_share_64ths + record.share_64ths <= WHOLE_SHARE);
    }
}

TEST_CASE("a release by a successor does not free the share that an older holder may still use") {
    LeaseObservation observation;
    observation.last_seen = held_by("a#1", 1);
    const GroupLeaseRecord second = acquired_by(observation, "b#1", "");
    REQUIRE(second.share_64ths == WHOLE_SHARE / 2);
    observation.last_seen = released(second);
    const GroupLeaseRecord third = acquired_by(observation, "c#1", "");
    CHECK(third.share_64ths == WHOLE_SHARE / 2);
    REQUIRE(third.former_holders.size() == 1);
    CHECK(third.former_holders[0] == HolderEpoch{"a#1", 1});
    CHECK(renewed(third, {{"a#1", 1}}).share_64ths == WHOLE_SHARE);
    CHECK(renewed(third, {{"a#1", 2}}).share_64ths == WHOLE_SHARE / 2);
}

TEST_CASE("groups are spread evenly, and all nodes compute the same assignment") {
    const std::vector<std::string> groups = group_names("dc", 12);
    const std::vector<std::string> holders = assign_groups(groups, {"c", "a", "b"});
    CHECK(holders == assign_groups(groups, {"a", "b", "c"}));
    for (const char* node : {"a", "b", "c"}) {
        CHECK(std::count(holders.begin(), holders.end(), node) == 4);
    }
    CHECK(assign_groups(groups, {}).empty());
}

TEST_CASE("a group has one standby, which is not the holder") {
    const std::vector<std::string> nodes = {"a", "b", "c"};
    const std::string standby = standby_of("dc/0", "a", nodes);
    CHECK((standby == "b" || standby == "c"));
    CHECK(standby_of("dc/0", "a", {"c", "b", "a"}) == standby);
    CHECK(standby_of("dc/0", "a", {"a"}).empty());
}

TEST_CASE("targets are spread over all groups, and a target is always in the same group") {
    std::set<std::string> used;
    for (int number = 0; number < 40; ++number) {
        used.insert(group_of("t" + std::to_string(number), "dc", 4));
    }
    CHECK(used.size() == 4);
    CHECK(group_of("t1", "dc", 4) == group_of("t1", "dc", 4));
}
