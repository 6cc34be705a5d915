#include "policy/group_lease.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace ebonymount {
namespace {

bool contains(const std::vector<HolderEpoch>& uses, const HolderEpoch& use) {
    return std::find(uses.begin(), uses.end(), use) != uses.end();
}

void forget_gone(GroupLeaseRecord& record, const std::vector<HolderEpoch>& ended_holders) {
    const auto is_gone = [&ended_holders](const HolderEpoch& use) {
        return contains(ended_holders, use);
    };
    std::erase_if(record.former_holders, is_gone);
    if (record.former_holders.empty()) {
        record.share_64ths = WHOLE_SHARE;
    }
}

}  // namespace

std::int64_t usable_share(const GroupLease& lease, Time now) {
    if (lease.lost || lease.draining) {
        return 0;
    }
    if (now < lease.valid_until) {
        return lease.share_64ths;
    }
    // A holder that was paused has not tried the platform since the lapse, so it may have been
    // replaced without knowing it. Even then the successor leaves this half alone.
    return lease.platform_failed_since_lapse ? lease.share_64ths / 2 : 0;
}

std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths) {
    return limit * share_64ths / WHOLE_SHARE;
}

bool may_acquire(const LeaseObservation& watch, Duration lease_duration, Duration longest_request,
                 Time now) {
    if (watch.last_seen.released || watch.last_seen.holder.empty()) {
        return true;
    }
    return now - watch.unchanged_since >= lease_duration + longest_request;
}

GroupLeaseRecord acquired_by(const LeaseObservation& watch, const std::string& node,
                             const std::string& address) {
    const GroupLeaseRecord& last = watch.last_seen;
    const HolderEpoch last_use{last.holder, last.epoch};
    const bool last_is_gone =
        last.released || last.holder.empty() || contains(watch.ended_holders, last_use);
    GroupLeaseRecord record = last;
    record.holder = node;
    record.address = address;
    record.epoch = last.epoch + 1;
    record.renewal = 0;
    record.released = false;
    if (!last_is_gone) {
        record.former_holders.push_back(last_use);
        record.share_64ths = last.share_64ths / 2;
    }
    forget_gone(record, watch.ended_holders);
    return record;
}

GroupLeaseRecord renewed(const GroupLeaseRecord& current,
                         const std::vector<HolderEpoch>& ended_holders) {
    GroupLeaseRecord record = current;
    ++record.renewal;
    forget_gone(record, ended_holders);
    return record;
}

GroupLeaseRecord released(const GroupLeaseRecord& current) {
    GroupLeaseRecord record = current;
    ++record.renewal;
    record.released = true;
    return record;
}

void on_renewed(GroupLease& lease, Duration lease_duration, Time sent) {
    if (lease.lost) {
        return;
    }
    lease.valid_until = sent + lease_duration;
    lease.platform_failed_since_lapse = false;
}

void on_platform_failure(GroupLease& lease, Time sent) {
    if (sent >= lease.valid_until) {
        lease.platform_failed_since_lapse = true;
    }
}

void on_lease_lost(GroupLease& lease) {
    lease.lost = true;
}

std::string group_of(const std::string& target, const std::string& data_centre,
                     std::int64_t group_count) {
    return rendezvous_order(target, group_names(data_centre, group_count)).front();
}

std::vector<std::string> assign_groups(const std::vector<std::string>& groups,
                                       const std::vector<std::string>& nodes) {
    std::vector<std::string> holders;
    if (nodes.empty()) {
        return holders;
    }
    const std::size_t most = (groups.size() + nodes.size() - 1) / nodes.size();
    std::map<std::string, std::size_t> held;
    for (const std::string& group : groups) {
        for (const std::string& node : rendezvous_order(group, nodes)) {
            if (held[node] < most) {
                ++held[node];
                holders.push_back(node);
                break;
            }
        }
    }
    return holders;
}

std::string standby_of(const std::string& group, const std::string& holder,
                       const std::vector<std::string>& nodes) {
    for (const std::string& node : rendezvous_order(group, nodes)) {
        if (node != holder) {
            return node;
        }
    }
    return "";
}

std::vector<std::string> group_names(const std::string& data_centre, std::int64_t group_count) {
    std::vector<std::string> names;
    for (std::int64_t number = 0; number < group_count; ++number) {
        names.push_back(data_centre + "/" + std::to_string(number));
    }
    return names;
}

}  // namespace ebonymount
