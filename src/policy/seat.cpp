#include "policy/seat.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace ebonymount {
namespace {

bool contains(const std::vector<SeatUse>& holder_epochs, const SeatUse& holder_epoch) {
    return std::find(holder_epochs.begin(), holder_epochs.end(), holder_epoch) !=
           holder_epochs.end();
}

void drop_ended_holders(SeatRecord& record, const std::vector<SeatUse>& known_gone) {
    const auto has_ended = [&known_gone](const SeatUse& holder_epoch) {
        return contains(known_gone, holder_epoch);
    };
    std::erase_if(record.remnants, has_ended);
    if (record.remnants.empty()) {
        record.share_64ths = WHOLE_SHARE;
    }
}

}  // namespace

std::int64_t usable_share(const SeatLease& lease, Time now) {
    if (lease.lost || lease.draining) {
        return 0;
    }
    if (now < lease.valid_until) {
        return lease.share_64ths;
    }
    // A holder that was paused has not contacted the platform since the lapse, so it may have been
    // replaced without knowing it. Even then its successor does not use this half.
    return lease.platform_failed_since_lapse ? lease.share_64ths / 2 : 0;
}

std::int64_t share_of(std::int64_t limit, std::int64_t share_64ths) {
    return limit * share_64ths / WHOLE_SHARE;
}

bool may_take(const SeatWatch& watch, Duration lease_duration, Duration longest_request, Time now) {
    if (watch.last_seen.released || watch.last_seen.holder.empty()) {
        return true;
    }
    return now - watch.unchanged_since >= lease_duration + longest_request;
}

SeatRecord taken_by(const SeatWatch& watch, const std::string& node, const std::string& address) {
    const SeatRecord& last = watch.last_seen;
    const SeatUse last_holder{last.holder, last.epoch};
    const bool last_has_ended =
        last.released || last.holder.empty() || contains(watch.known_gone, last_holder);
    SeatRecord record = last;
    record.holder = node;
    record.address = address;
    record.epoch = last.epoch + 1;
    record.renewal = 0;
    record.released = false;
    if (!last_has_ended) {
        record.remnants.push_back(last_holder);
        record.share_64ths = last.share_64ths / 2;
    }
    drop_ended_holders(record, watch.known_gone);
    return record;
}

SeatRecord renewed(const SeatRecord& current, const std::vector<SeatUse>& known_gone) {
    SeatRecord record = current;
    ++record.renewal;
    drop_ended_holders(record, known_gone);
    return record;
}

SeatRecord released(const SeatRecord& current) {
    SeatRecord record = current;
    ++record.renewal;
    record.released = true;
    return record;
}

void on_renewed(SeatLease& lease, Duration lease_duration, Time sent) {
    if (lease.lost) {
        return;
    }
    lease.valid_until = sent + lease_duration;
    lease.platform_failed_since_lapse = false;
}

void on_platform_failure(SeatLease& lease, Time sent) {
    if (sent >= lease.valid_until) {
        lease.platform_failed_since_lapse = true;
    }
}

void on_seat_lost(SeatLease& lease) {
    lease.lost = true;
}

std::string seat_of(const std::string& target, const std::string& data_centre,
                    std::int64_t seat_count) {
    return rendezvous_order(target, seat_names(data_centre, seat_count)).front();
}

std::vector<std::string> assign_seats(const std::vector<std::string>& seats,
                                      const std::vector<std::string>& nodes) {
    std::vector<std::string> holders;
    if (nodes.empty()) {
        return holders;
    }
    const std::size_t max_per_node = (seats.size() + nodes.size() - 1) / nodes.size();
    std::map<std::string, std::size_t> count_by_node;
    for (const std::string& seat : seats) {
        for (const std::string& node : rendezvous_order(seat, nodes)) {
            if (count_by_node[node] < max_per_node) {
                ++count_by_node[node];
                holders.push_back(node);
                break;
            }
        }
    }
    return holders;
}

std::string standby_of(const std::string& seat, const std::string& holder,
                       const std::vector<std::string>& nodes) {
    for (const std::string& node : rendezvous_order(seat, nodes)) {
        if (node != holder) {
            return node;
        }
    }
    return "";
}

std::vector<std::string> seat_names(const std::string& data_centre, std::int64_t seat_count) {
    std::vector<std::string> names;
    for (std::int64_t number = 0; number < seat_count; ++number) {
        names.push_back(data_centre + "/" + std::to_string(number));
    }
    return names;
}

}  // namespace ebonymount
