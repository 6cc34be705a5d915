#include "cluster/group_lease_machine.h"

namespace ebonymount {
namespace {

/// A lease is handed over only after another node has been its assigned holder for this long.
constexpr Duration HANDOVER_DELAY = from_ms(3000);

/// Maximum number of attempts to write a release; after that the lease is left to expire.
constexpr int MAX_RELEASE_WRITES = 3;

struct Step {
    GroupLeaseMachine& machine;
    const LeaseContext& context;
    Time now;
    std::vector<LeaseAction> actions;
};

Duration renewal_interval(const LeaseContext& context) {
    return context.lease_duration / 3;
}

Duration poll_interval(const LeaseContext& context) {
    return context.lease_duration / 4;
}

void resume_watching(Step& s, Duration pause) {
    s.machine.phase = LeasePhase::watching;
    s.machine.due = s.now + pause;
}

void stop_holding(Step& s) {
    s.machine.lease = GroupLease{};
    s.machine.lease.lost = true;
    s.machine.observation = LeaseObservation{};
    s.machine.unassigned_since.reset();
    resume_watching(s, Duration::zero());
}

void drain(Step& s, LeasePhase phase) {
    s.machine.phase = phase;
    s.machine.lease.draining = true;
    s.actions.emplace_back(DrainGroup{});
}

bool should_hand_over(Step& s) {
    GroupLeaseMachine& machine = s.machine;
    if (s.context.stopping) {
        return true;
    }
    if (s.context.is_assigned) {
        machine.unassigned_since.reset();
        return false;
    }
    if (!machine.unassigned_since.has_value()) {
        machine.unassigned_since = s.now;
    }
    return s.now - *machine.unassigned_since > HANDOVER_DELAY;
}

void renew(Step& s) {
    GroupLeaseMachine& machine = s.machine;
    machine.proposed = renewed(machine.record, s.context.ended_holders);
    machine.sent = s.now;
    machine.due = s.now + renewal_interval(s.context);
    machine.phase = LeasePhase::renewing;
    s.actions.emplace_back(WriteLease{machine.version, machine.proposed});
}

void on_tick(Step& s) {
    GroupLeaseMachine& machine = s.machine;
    if (machine.phase == LeasePhase::holding) {
        if (should_hand_over(s)) {
            drain(s, LeasePhase::draining);
        } else if (s.now >= machine.due) {
            renew(s);
        }
        return;
    }
    const bool is_due = s.now >= machine.due || machine.handover_epoch.has_value();
    if (machine.phase == LeasePhase::watching && is_due && !s.context.stopping) {
        machine.phase = LeasePhase::polling;
        s.actions.emplace_back(ReadLease{});
    }
}

/// True for a record that names this node as holder although it never served under that epoch: the
/// write that acquired the lease was not confirmed.
bool is_own_unconfirmed(const Step& s, const GroupLeaseRecord& record) {
    return record.holder == s.context.node && !record.released &&
           s.machine.unfinished_epoch != record.epoch;
}

bool may_acquire_now(const Step& s) {
    const LeaseObservation& observation = s.machine.observation;
    const bool preferred = s.context.is_assigned || s.machine.handover_epoch.has_value();
    if (is_own_unconfirmed(s, observation.last_seen)) {
        return true;
    }
    // A node other than the assigned one waits for half the lease duration, so that the assigned
    // one can acquire the lease first.
    const Duration delay = preferred ? Duration::zero() : s.context.lease_duration / 2;
    const bool is_free = observation.last_seen.released || observation.last_seen.holder.empty();
    if (is_free) {
        return s.now - observation.unchanged_since >= delay;
    }
    return may_acquire(observation, s.context.lease_duration, s.context.max_request_time,
                       s.now - delay);
}

void acquire(Step& s) {
    GroupLeaseMachine& machine = s.machine;
    LeaseObservation observation = machine.observation;
    observation.ended_holders = s.context.ended_holders;
    if (is_own_unconfirmed(s, observation.last_seen)) {
        observation.ended_holders.push_back(
            {observation.last_seen.holder, observation.last_seen.epoch});
    }
    machine.proposed = acquired_by(observation, s.context.node, s.context.address);
    machine.sent = s.now;
    machine.phase = LeasePhase::acquiring;
    s.actions.emplace_back(WriteLease{machine.version, machine.proposed});
}

void on_polled(Step& s, const LeaseRead& read) {
    GroupLeaseMachine& machine = s.machine;
    resume_watching(s, poll_interval(s.context));
    if (read.status == StoreStatus::unknown) {
        return;
    }
    const bool is_first_poll = machine.observation.unchanged_since == Time{};
    if (is_first_poll || read.version != machine.version) {
        machine.observation.unchanged_since = s.now;
    }
    machine.version = read.version;
    machine.observation.last_seen = read.record;
    s.actions.emplace_back(PublishLease{read.record});
    if (!s.context.stopping && may_acquire_now(s)) {
        acquire(s);
    }
}

void on_acquired(Step& s, const LeaseWritten& written) {
    GroupLeaseMachine& machine = s.machine;
    if (written.status != StoreStatus::done) {
        // Another node wrote first, or the confirmation was lost. The next poll shows which.
        resume_watching(s, Duration::zero());
        return;
    }
    const GroupLeaseRecord last = machine.observation.last_seen;
    const bool warm = last.released && machine.handover_epoch == last.epoch;
    machine.handover_epoch.reset();
    machine.record = machine.proposed;
    machine.version = written.version;
    machine.phase = LeasePhase::holding;
    machine.due = machine.sent + renewal_interval(s.context);
    machine.lease = GroupLease{};
    machine.lease.epoch = machine.record.epoch;
    machine.lease.share_64ths = machine.record.share_64ths;
    on_renewed(machine.lease, s.context.lease_duration, machine.sent);
    s.actions.emplace_back(PublishLease{machine.record});
    s.actions.emplace_back(OpenGroup{warm, last.epoch});
}

void accept_renewal(Step& s, const GroupLeaseRecord& record, std::int64_t version) {
    GroupLeaseMachine& machine = s.machine;
    machine.record = record;
    machine.version = version;
    machine.phase = LeasePhase::holding;
    machine.lease.share_64ths = record.share_64ths;
    on_renewed(machine.lease, s.context.lease_duration, machine.sent);
    s.actions.emplace_back(PublishLease{record});
}

void on_renewal_written(Step& s, const LeaseWritten& written) {
    if (written.status == StoreStatus::done) {
        accept_renewal(s, s.machine.proposed, written.version);
        return;
    }
    s.machine.phase = LeasePhase::verifying;
    s.actions.emplace_back(ReadLease{});
}

bool is_own_record(const Step& s, const LeaseRead& read) {
    return read.status == StoreStatus::done && read.record.holder == s.context.node &&
           read.record.epoch == s.machine.record.epoch;
}

void on_verified(Step& s, const LeaseRead& read) {
    GroupLeaseMachine& machine = s.machine;
    if (read.status == StoreStatus::unknown) {
        on_platform_failure(machine.lease, machine.sent);
        machine.phase = LeasePhase::holding;
        return;
    }
    if (!is_own_record(s, read) || read.record.released) {
        on_lease_lost(machine.lease);
        drain(s, LeasePhase::ending);
        return;
    }
    if (read.record.renewal > machine.record.renewal) {
        accept_renewal(s, read.record, read.version);
        return;
    }
    machine.version = read.version;
    machine.phase = LeasePhase::holding;
    machine.due = s.now;
}

void write_release(Step& s) {
    GroupLeaseMachine& machine = s.machine;
    machine.proposed = released(machine.record);
    machine.phase = LeasePhase::releasing;
    ++machine.release_writes;
    s.actions.emplace_back(WriteLease{machine.version, machine.proposed});
}

void finish_release(Step& s, bool confirmed) {
    GroupLeaseMachine& machine = s.machine;
    if (confirmed) {
        s.actions.emplace_back(PublishLease{machine.proposed});
        s.actions.emplace_back(NotifySuccessor{machine.proposed.epoch});
    }
    stop_holding(s);
}

void on_drained(Step& s, const GroupDrained& drained) {
    GroupLeaseMachine& machine = s.machine;
    const bool is_planned = machine.phase == LeasePhase::draining;
    if (!drained.idle) {
        machine.unfinished_epoch = machine.record.epoch;
        stop_holding(s);
        return;
    }
    s.actions.emplace_back(EndEpoch{machine.record.epoch});
    if (is_planned) {
        machine.release_writes = 0;
        write_release(s);
    } else {
        stop_holding(s);
    }
}

void on_release_written(Step& s, const LeaseWritten& written) {
    if (written.status == StoreStatus::done) {
        finish_release(s, true);
        return;
    }
    s.machine.phase = LeasePhase::checking;
    s.actions.emplace_back(ReadLease{});
}

void on_release_checked(Step& s, const LeaseRead& read) {
    GroupLeaseMachine& machine = s.machine;
    const bool is_own = is_own_record(s, read);
    if (is_own && read.record.released) {
        finish_release(s, true);
    } else if (is_own && machine.release_writes < MAX_RELEASE_WRITES) {
        machine.version = read.version;
        machine.record = read.record;
        write_release(s);
    } else {
        finish_release(s, false);
    }
}

void on_read(Step& s, const LeaseRead& read) {
    switch (s.machine.phase) {
        case LeasePhase::polling:
            on_polled(s, read);
            break;
        case LeasePhase::verifying:
            on_verified(s, read);
            break;
        case LeasePhase::checking:
            on_release_checked(s, read);
            break;
        default:
            break;
    }
}

void on_written(Step& s, const LeaseWritten& written) {
    switch (s.machine.phase) {
        case LeasePhase::acquiring:
            on_acquired(s, written);
            break;
        case LeasePhase::renewing:
            on_renewal_written(s, written);
            break;
        case LeasePhase::releasing:
            on_release_written(s, written);
            break;
        default:
            break;
    }
}

}  // namespace

std::vector<LeaseAction> step(GroupLeaseMachine& machine, const LeaseEvent& event,
                              const LeaseContext& context, Time now) {
    Step s{machine, context, now, {}};
    if (std::holds_alternative<LeaseTick>(event)) {
        on_tick(s);
    } else if (const LeaseRead* read = std::get_if<LeaseRead>(&event)) {
        on_read(s, *read);
    } else if (const LeaseWritten* written = std::get_if<LeaseWritten>(&event)) {
        on_written(s, *written);
    } else if (const GroupDrained* drained = std::get_if<GroupDrained>(&event)) {
        on_drained(s, *drained);
    } else if (const HandoverReceived* handover = std::get_if<HandoverReceived>(&event)) {
        machine.handover_epoch = handover->epoch;
    }
    return std::move(s.actions);
}

bool is_held(const GroupLeaseMachine& machine) {
    switch (machine.phase) {
        case LeasePhase::watching:
        case LeasePhase::polling:
        case LeasePhase::acquiring:
            return false;
        default:
            return true;
    }
}

std::vector<HolderEpoch> unresolved_holders(const GroupLeaseMachine& machine) {
    const GroupLeaseRecord& record =
        is_held(machine) ? machine.record : machine.observation.last_seen;
    std::vector<HolderEpoch> holders = record.former_holders;
    if (!is_held(machine) && !record.holder.empty()) {
        holders.push_back({record.holder, record.epoch});
    }
    return holders;
}

}  // namespace ebonymount
