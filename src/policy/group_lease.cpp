#include "policy/group_lease.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace ebonymount {
namespace {

bool contains(const std::vector<HolderEpoch>& holder_epochs, const HolderEpoch& holder_epoch) {
    return std::find(holder_epochs.begin(), holder_epochs.end(), holder_epoch) !=
           holder_epochs.end();
}

void drop_ended_holders(GroupLeaseRecord& record, const std::vector<HolderEpoch>& ended_holders) {
    const auto has_ended = [&ended_holders](const HolderEpoch& holder_epoch) {
        return contains(ended_holders, holder_epoch);
    };
    std::erase_if(record.former_holders, has_ended);
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
    // During an outage of the platform, half of the share is safe because a successor without a
    // handover leaves it unused. A holder that was merely paused may have been replaced without
    // knowing it, so it has to contact the platform first.
    return lease.platform_failed_since_lapse ? lease.share_64ths / 2 : 0;
}

std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths) {
    return limit * share_64ths / WHOLE_SHARE;
}

bool may_acquire(const LeaseObservation& observation, Duration lease_duration,
                 Duration max_request_time, Time now) {
    if (observation.last_seen.released || observation.last_seen.holder.empty()) {
        return true;
    }
    return now - observation.unchanged_since >= lease_duration + max_request_time;
}

GroupLeaseRecord acquired_by(const LeaseObservation& observation, const std::string& node,
                             const std::string& address) {
    const GroupLeaseRecord& last = observation.last_seen;
    const HolderEpoch last_holder{last.holder, last.epoch};
    const bool last_has_ended =
        last.released || last.holder.empty() || contains(observation.ended_holders, last_holder);
    GroupLeaseRecord record = last;
    record.holder = node;
    record.address = address;
    record.epoch = last.epoch + 1;
    record.renewal = 0;
    record.released = false;
    if (!last_has_ended) {
        record.former_holders.push_back(last_holder);
        record.share_64ths = last.share_64ths / 2;
    }
    drop_ended_holders(record, observation.ended_holders);
    return record;
}

GroupLeaseRecord renewed(const GroupLeaseRecord& current,
                         const std::vector<HolderEpoch>& ended_holders) {
    GroupLeaseRecord record = current;
    ++record.renewal;
    drop_ended_holders(record, ended_holders);
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
    const std::size_t max_per_node = (groups.size() + nodes.size() - 1) / nodes.size();
    std::map<std::string, std::size_t> count_by_node;
    for (const std::string& group : groups) {
        for (const std::string& node : rendezvous_order(group, nodes)) {
            if (count_by_node[node] < max_per_node) {
                ++count_by_node[node];
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
