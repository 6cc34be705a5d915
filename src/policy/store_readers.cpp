#include "policy/store_readers.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"
#include "policy/target_registry.h"

namespace ebonymount {
namespace {

// Fractions of the stable window (the first) and of the time within which a change must be in
// force. The stale age exceeds a pause, a probe and a heartbeat together; otherwise followers would
// drop readers that work but have no updates to send. The maximum age leaves half of that time to
// read the store directly.
constexpr double WATCH_SHARE = 0.6;
constexpr double PROBE_SHARE = 0.15;
constexpr double HEARTBEAT_SHARE = 0.1;
constexpr double STALE_AGE_SHARE = 0.38;
constexpr double MAX_AGE_SHARE = 0.5;
// The rest of that time is left for a pause and a watch that waits.
constexpr double MAX_LAG_SHARE = 0.4;
constexpr double MIN_READING_TIME_SHARE = 0.6;
// The steps of 77 nodes, the wait for a reader and one read fit between the maximum age and the end
// of that time.
constexpr double TAKEOVER_STEP_SHARE = 0.07;
constexpr double RECOVERY_WAIT_SHARE = 0.08;
constexpr double READER_PAUSE_SHARE = 0.1;
// This pause is short because most of the time for a change is taken up by the age of the store's
// recent data, about a second, and by the grace period of removed targets.
constexpr double CHANGE_PAUSE_SHARE = 0.2;

// Parts of the time in which a target or data centre must be out of use: when its data must be
// shown to be complete, and when a follower must have applied it. The rest is left for two reads
// and for requests on their way.
constexpr double PROOF_SHARE = 0.8;
constexpr double FOLLOWER_SHARE = 0.9;
constexpr double MIN_FOLLOWER_PROOF_SHARE = 0.4;

std::uint64_t rank_of(const Member& member) {
    return stable_hash(member.data_centre + "/" + member.node);
}

/// Other members of the node's data centre that can be followed, in the order common to all nodes.
std::vector<Member> followable_members(const Member& self, const std::vector<Member>& members) {
    std::vector<Member> followable;
    for (const Member& member : members) {
        const bool is_self = member.node == self.node;
        if (member.data_centre == self.data_centre && !member.address.empty() && !is_self) {
            followable.push_back(member);
        }
    }
    std::sort(followable.begin(), followable.end(), [](const Member& left, const Member& right) {
        return rank_of(left) < rank_of(right);
    });
    return followable;
}

/// True if the data centre has enough nodes for some to follow others.
bool has_enough_followers(const std::vector<Member>& others) {
    return others.size() + 1 >= READERS_PER_DATA_CENTRE + MIN_FOLLOWERS;
}

bool is_reader(const Member& self, const std::vector<Member>& members) {
    const std::vector<Member> others = followable_members(self, members);
    const std::int64_t preceding =
        std::count_if(others.begin(), others.end(),
                      [&self](const Member& member) { return rank_of(member) < rank_of(self); });
    return !has_enough_followers(others) ||
           static_cast<std::size_t>(preceding) < READERS_PER_DATA_CENTRE;
}

}  // namespace

StoreReadTiming store_read_timing(Duration config_apply, Duration stable_window) {
    StoreReadTiming timing;
    timing.watch_wait = scaled(stable_window, WATCH_SHARE);
    timing.probe_wait = scaled(config_apply, PROBE_SHARE);
    timing.heartbeat = scaled(config_apply, HEARTBEAT_SHARE);
    timing.stale_age = scaled(config_apply, STALE_AGE_SHARE);
    timing.max_age = scaled(config_apply, MAX_AGE_SHARE);
    timing.max_lag = scaled(config_apply, MAX_LAG_SHARE);
    timing.min_reading_time = scaled(config_apply, MIN_READING_TIME_SHARE);
    timing.takeover_step = scaled(config_apply, TAKEOVER_STEP_SHARE);
    timing.recovery_wait = scaled(config_apply, RECOVERY_WAIT_SHARE);
    timing.reader_pause = scaled(config_apply, READER_PAUSE_SHARE);
    timing.change_pause = scaled(config_apply, CHANGE_PAUSE_SHARE);
    return timing;
}

ProofTiming proof_timing(Duration drain, Duration evacuate, bool reads_for_others) {
    ProofTiming timing;
    timing.interval = scaled(std::min(drain, evacuate), PROOF_SHARE);
    timing.targets = scaled(drain, PROOF_SHARE);
    timing.evacuations = scaled(evacuate, PROOF_SHARE);
    if (reads_for_others) {
        timing.targets = std::max(scaled(drain, MIN_FOLLOWER_PROOF_SHARE),
                                  scaled(drain, FOLLOWER_SHARE) - REMOVAL_GRACE);
    }
    return timing;
}

std::vector<Member> readers_for(const Member& self, const std::vector<Member>& members,
                                const AvoidedReaders& avoided, Time now) {
    if (is_reader(self, members)) {
        return {};
    }
    std::vector<Member> preceding = followable_members(self, members);
    std::erase_if(preceding,
                  [&self](const Member& member) { return rank_of(member) > rank_of(self); });
    // Followers are spread over the readers; the other nodes are used only when all readers fail.
    const std::size_t first = stable_hash(self.node) % READERS_PER_DATA_CENTRE;
    std::rotate(preceding.begin(), preceding.begin() + static_cast<std::ptrdiff_t>(first),
                preceding.begin() + READERS_PER_DATA_CENTRE);
    std::erase_if(preceding, [&avoided, now](const Member& member) {
        const auto found = avoided.find(member.node);
        return found != avoided.end() && now < found->second;
    });
    return preceding;
}

std::vector<Member> substitutes_for(const Member& self, const std::vector<Member>& members,
                                    std::size_t count) {
    std::vector<Member> others = followable_members(self, members);
    others.resize(std::min(others.size(), count));
    return others;
}

bool has_followers(const Member& self, const std::vector<Member>& members) {
    return is_reader(self, members) && has_enough_followers(followable_members(self, members));
}

}  // namespace ebonymount
