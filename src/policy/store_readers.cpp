#include "policy/store_readers.h"

#include <algorithm>
#include <cstdint>

#include "base/hash.h"

namespace ebonymount {
namespace {

// Parts of the stable window (the first) and of the time in which a change must be in force. The
// worrying age exceeds a pause, a probe and a heartbeat together, or calm readers would be given
// up. The longest age leaves half of that time to read the store instead.
constexpr double WATCH_SHARE = 0.6;
constexpr double PROBE_SHARE = 0.15;
constexpr double HEARTBEAT_SHARE = 0.1;
constexpr double WORRYING_AGE_SHARE = 0.38;
constexpr double LONGEST_AGE_SHARE = 0.5;
constexpr double HOLD_SHARE = 0.6;
constexpr double READER_PAUSE_SHARE = 0.1;
// The store's recent data, which is about a second old, and the grace of removed targets need most
// of the rest.
constexpr double CHANGE_PAUSE_SHARE = 0.2;

std::uint64_t rank_of(const Member& member) {
    return stable_hash(member.data_centre + "/" + member.node);
}

/// Members of the node's data centre that can be followed, in the order that all nodes share.
std::vector<Member> ranked(const Member& self, const std::vector<Member>& members) {
    std::vector<Member> found;
    for (const Member& member : members) {
        const bool is_self = member.node == self.node;
        if (member.data_centre == self.data_centre && !member.address.empty() && !is_self) {
            found.push_back(member);
        }
    }
    std::sort(found.begin(), found.end(), [](const Member& left, const Member& right) {
        return rank_of(left) < rank_of(right);
    });
    return found;
}

/// True when the data centre has enough nodes besides this one for some to follow others.
bool is_shared(const std::vector<Member>& others) {
    return others.size() + 1 >= READERS_PER_DATA_CENTRE + MIN_FOLLOWERS;
}

bool is_reader(const Member& self, const std::vector<Member>& members) {
    const std::vector<Member> others = ranked(self, members);
    const std::int64_t before =
        std::count_if(others.begin(), others.end(),
                      [&self](const Member& member) { return rank_of(member) < rank_of(self); });
    return !is_shared(others) || static_cast<std::size_t>(before) < READERS_PER_DATA_CENTRE;
}

}  // namespace

StoreReadTiming store_read_timing(Duration config_apply, Duration stable_window) {
    StoreReadTiming timing;
    timing.watch_wait = scaled(stable_window, WATCH_SHARE);
    timing.probe_wait = scaled(config_apply, PROBE_SHARE);
    timing.heartbeat = scaled(config_apply, HEARTBEAT_SHARE);
    timing.stale_age = scaled(config_apply, WORRYING_AGE_SHARE);
    timing.max_age = scaled(config_apply, LONGEST_AGE_SHARE);
    timing.hold = scaled(config_apply, HOLD_SHARE);
    timing.reader_pause = scaled(config_apply, READER_PAUSE_SHARE);
    timing.change_pause = scaled(config_apply, CHANGE_PAUSE_SHARE);
    return timing;
}

std::vector<Member> readers_for(const Member& self, const std::vector<Member>& members,
                                const AvoidedReaders& avoided, Time now) {
    if (is_reader(self, members)) {
        return {};
    }
    std::vector<Member> before = ranked(self, members);
    std::erase_if(before,
                  [&self](const Member& member) { return rank_of(member) > rank_of(self); });
    // Followers spread over the readers; the others come into question when all readers fail.
    const std::size_t first = stable_hash(self.node) % READERS_PER_DATA_CENTRE;
    std::rotate(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(first),
                before.begin() + READERS_PER_DATA_CENTRE);
    std::erase_if(before, [&avoided, now](const Member& member) {
        const auto found = avoided.find(member.node);
        return found != avoided.end() && now < found->second;
    });
    return before;
}

bool has_followers(const Member& self, const std::vector<Member>& members) {
    return is_reader(self, members) && is_shared(ranked(self, members));
}

}  // namespace ebonymount
