#include "policy/store_source.h"

#include <algorithm>
#include <bit>

namespace ebonymount {
namespace {

/// How long a node waits for a reader's first recent updates. The reader may have started at the
/// same moment and needs about 50 ms to read its own lists.
constexpr Duration READER_WAIT = from_ms(500);

/// How long a reader that failed is not followed: a process that ended is restarted within a second
/// or two.
constexpr Duration AVOID_TIME = from_ms(3000);

/// The same for a node without any state, which cannot serve: when all nodes start at once, the
/// next one may have its state earlier, and the one that failed may be up soon.
constexpr Duration FIRST_READER_WAIT = from_ms(150);
constexpr Duration FIRST_AVOID_TIME = from_ms(600);

/// Delay between the groups of nodes without any state that probe the store.
constexpr Duration FIRST_TAKEOVER_STEP = from_ms(100);

/// Pause between attempts to follow a reader, for a node that reads the store itself, and for one
/// that has met `TAKEOVER_NODES` readers without recent updates in a row.
constexpr Duration CANDIDATE_PAUSE = from_ms(1000);
constexpr Duration STALE_CANDIDATE_PAUSE = from_ms(2000);

/// Nodes of a data centre, in the common order, that may take over reading while a connected reader
/// reports that it cannot reach the store; only they are tried as readers in that time.
constexpr std::size_t TAKEOVER_NODES = 8;

/// Pause before a failed probe is repeated: the first, doubled with each further failure up to the
/// maximum.
constexpr Duration FIRST_PROBE_PAUSE = from_ms(1000);
constexpr int MAX_PROBE_DOUBLINGS = 3;

/// Time between two probes of the nodes of one data centre beyond `TAKEOVER_NODES`: first one after
/// the other, then on average.
constexpr Duration LATE_PROBE_INTERVAL = from_ms(500);

/// A reader whose last message is older than this number of heartbeats is not connected.
constexpr int MISSED_HEARTBEATS = 3;

Duration age_of(const ReaderLink& link, Time now) {
    return link.as_of.has_value() ? now - *link.as_of : Duration::max();
}

/// True if the reader's messages still arrive.
bool is_connected(const ReaderLink* link, const SourceInputs& inputs) {
    return link != nullptr && !link->ended && link->last_message.has_value() &&
           inputs.now - *link->last_message < MISSED_HEARTBEATS * inputs.timing.heartbeat;
}

bool is_recent(const ReaderLink* link, const SourceInputs& inputs) {
    return link != nullptr && !link->ended && age_of(*link, inputs.now) <= inputs.timing.stale_age;
}

/// True if a reader is connected and its updates are old: it cannot reach the store either.
bool is_reader_cut_off(const SourceInputs& inputs) {
    const auto is_cut_off = [&inputs](const ReaderLink* link) {
        return is_connected(link, inputs) && !is_recent(link, inputs);
    };
    return is_cut_off(inputs.upstream) || is_cut_off(inputs.candidate);
}

/// True if the node is not among those that take over reading for the others.
bool probes_late(const StoreSource& source, const SourceInputs& inputs) {
    return source.rank >= TAKEOVER_NODES && is_reader_cut_off(inputs);
}

/// The reader to try next; empty if all are avoided.
std::optional<Member> next_reader(const StoreSource& source, const SourceInputs& inputs) {
    std::vector<Member> readers = source.readers;
    if (!source.members_known) {
        for (const std::string& address : inputs.initial_peers) {
            if (address != inputs.self.address) {
                readers.push_back({address, inputs.self.data_centre, address});
            }
        }
    } else if (is_reader_cut_off(inputs) && readers.size() > TAKEOVER_NODES) {
        readers.resize(TAKEOVER_NODES);
    }
    for (const Member& reader : readers) {
        const auto avoided = source.avoided.find(reader.node);
        const bool is_avoided = avoided != source.avoided.end() && inputs.now < avoided->second;
        const bool is_upstream =
            inputs.upstream != nullptr && inputs.upstream->reader.node == reader.node;
        if (!is_avoided && !is_upstream) {
            return reader;
        }
    }
    return std::nullopt;
}

/// True if the node may follow that reader's data instead of reading the store itself.
bool may_hand_over_to(const ReaderLink& link, const StoreSource& source) {
    return source.is_reader ||
           std::any_of(source.readers.begin(), source.readers.end(),
                       [&link](const Member& preceding) { return preceding.node == link.origin; });
}

void record_contact(StoreSource& source, const SourceInputs& inputs) {
    if (inputs.own_contact > source.last_contact) {
        source.last_contact = inputs.own_contact;
        source.origin = inputs.self.node;
    }
    const ReaderLink* const upstream = inputs.upstream;
    if (upstream != nullptr && upstream->as_of.has_value() &&
        *upstream->as_of > source.last_contact) {
        source.last_contact = *upstream->as_of;
        source.origin = upstream->origin;
    }
}

void open_candidate(StoreSource& source, const SourceInputs& inputs,
                    std::vector<SourceAction>& actions) {
    if (source.offer.has_value()) {
        actions.emplace_back(OpenCandidate{*source.offer});
        source.offer.reset();
        return;
    }
    const bool is_paced = source.reading || source.stale_candidates >= TAKEOVER_NODES;
    const std::optional<Member> reader = next_reader(source, inputs);
    if (reader.has_value() && (!is_paced || inputs.now >= source.next_candidate_at)) {
        source.next_candidate_at =
            inputs.now + (source.reading ? CANDIDATE_PAUSE : STALE_CANDIDATE_PAUSE);
        actions.emplace_back(OpenCandidate{*reader});
    }
}

void check_candidate(StoreSource& source, const SourceInputs& inputs,
                     std::vector<SourceAction>& actions) {
    const Time now = inputs.now;
    const ReaderLink& candidate = *inputs.candidate;
    const bool may_follow = !source.reading || source.is_reader ||
                            (now >= source.may_follow_at && may_hand_over_to(candidate, source));
    const bool is_sending = is_connected(&candidate, inputs);
    const Duration wait = inputs.has_state || is_sending ? READER_WAIT : FIRST_READER_WAIT;
    // A node that has offered its data has it; any other may have it later.
    const bool has_timed_out =
        candidate.ended || now > candidate.opened + wait || source.offer.has_value();
    const bool is_usable = is_recent(&candidate, inputs) && inputs.has_state;
    // A connected reader without recent updates is better than none: it shows when the store is
    // back. A node that does not know the others follows nobody, so that it goes on calling the
    // store for their list: the reader may have no state either, and wait for another node itself.
    const bool is_best = source.members_known && !source.reading && inputs.upstream == nullptr &&
                         has_timed_out && is_sending;
    if (is_usable ? may_follow : is_best) {
        if (inputs.upstream != nullptr) {
            source.avoided[inputs.upstream->reader.node] = now + AVOID_TIME;
        }
        source.reading = source.reading && source.is_reader;
        source.stale_candidates = 0;
        actions.emplace_back(FollowCandidate{});
    } else if (has_timed_out && (!is_usable || !may_follow)) {
        ++source.stale_candidates;
        source.avoided[candidate.reader.node] =
            now + (inputs.has_state ? AVOID_TIME : FIRST_AVOID_TIME);
        actions.emplace_back(
            DropCandidate{candidate.ended ? "the stream ended" : "no recent updates"});
    }
}

/// True if this node reads the store and has had no complete answer for too long.
bool reads_in_vain(const StoreSource& source, const SourceInputs& inputs) {
    // A quiet watch shows no contact for the whole of its wait, and a change is followed by a
    // pause.
    const Duration limit =
        inputs.own_reads_fail
            ? inputs.timing.stale_age
            : inputs.timing.watch_wait + inputs.timing.change_pause + STORE_CALL_TIMEOUT;
    return source.reading &&
           inputs.now - std::max(source.last_contact, source.reading_since) > limit;
}

/// Drops the reader if its stream has ended or is silent, or if the node now reads the store
/// itself. True if the reader was dropped.
bool drop_upstream(StoreSource& source, const SourceInputs& inputs,
                   std::vector<SourceAction>& actions) {
    if (inputs.upstream == nullptr) {
        return false;
    }
    const bool has_own_updates =
        source.reading && inputs.now - inputs.own_contact <= inputs.timing.stale_age;
    const bool is_silent = !is_connected(inputs.upstream, inputs) &&
                           age_of(*inputs.upstream, inputs.now) > inputs.timing.max_age;
    if (!has_own_updates && !inputs.upstream->ended && !is_silent) {
        return false;
    }
    source.avoided[inputs.upstream->reader.node] = inputs.now + AVOID_TIME;
    if (has_own_updates && !source.is_reader && is_connected(inputs.upstream, inputs) &&
        !is_recent(inputs.upstream, inputs)) {
        actions.emplace_back(OfferData{inputs.upstream->reader});
    }
    actions.emplace_back(DropUpstream{inputs.upstream->ended ? "the stream ended"
                                      : is_silent            ? "it is silent"
                                                             : "this node reads the store itself"});
    return true;
}

void start_reading(StoreSource& source, const SourceInputs& inputs,
                   std::vector<SourceAction>& actions) {
    source.reading = true;
    source.reading_since = inputs.now;
    source.may_follow_at = inputs.now + inputs.timing.min_reading_time;
    source.probe_at.reset();
    source.probe_answered_at.reset();
    source.failed_probes = 0;
    actions.emplace_back(StartReading{});
}

/// Delay of the node's group: the first group are the nodes after the readers, and each later
/// group has twice as many.
Duration group_delay(const StoreSource& source, const SourceInputs& inputs) {
    const std::size_t group = std::max<std::size_t>(1, source.rank / READERS_PER_DATA_CENTRE);
    const Duration step = inputs.has_state ? inputs.timing.takeover_step : FIRST_TAKEOVER_STEP;
    return step * (std::bit_width(group) - 1);
}

Time next_probe_time(const StoreSource& source, const SourceInputs& inputs, Time needed_from,
                     Random& random) {
    if (probes_late(source, inputs) && source.failed_probes == 0) {
        const std::size_t preceding = source.rank - TAKEOVER_NODES;
        return std::max(inputs.now, needed_from) + group_delay(source, inputs) +
               LATE_PROBE_INTERVAL * static_cast<std::int64_t>(preceding);
    }
    if (probes_late(source, inputs)) {
        const double nodes = static_cast<double>(source.late_nodes);
        return inputs.now + scaled(LATE_PROBE_INTERVAL, 2.0 * uniform(random) * nodes);
    }
    if (source.failed_probes == 0) {
        return needed_from + group_delay(source, inputs);
    }
    const int doublings = std::min(source.failed_probes - 1, MAX_PROBE_DOUBLINGS);
    return inputs.now + scaled(FIRST_PROBE_PAUSE * (1 << doublings), 0.5 + uniform(random));
}

void check_store(StoreSource& source, const SourceInputs& inputs, Random& random,
                 std::vector<SourceAction>& actions) {
    const Time now = inputs.now;
    const Time needed_from =
        source.last_contact == Time{}
            ? source.waits_until
            : std::max(source.last_contact + inputs.timing.max_age, source.waits_until);
    if (!source.members_known || now < needed_from) {
        // Without the list of nodes, the watcher of that list probes the store.
        source.probe_at.reset();
        source.probe_answered_at.reset();
        source.failed_probes = 0;
        return;
    }
    if (source.probe_answered_at.has_value()) {
        const Duration wait = inputs.has_state ? inputs.timing.recovery_wait : Duration::zero();
        if (now >= *source.probe_answered_at + wait) {
            start_reading(source, inputs, actions);
        }
        return;
    }
    if (source.probe_in_flight) {
        return;
    }
    if (!source.probe_at.has_value()) {
        source.probe_at = next_probe_time(source, inputs, needed_from, random);
    } else if (!probes_late(source, inputs) && source.failed_probes == 0) {
        // The reader that reported to be cut off may be gone now.
        source.probe_at =
            std::min(*source.probe_at, std::max(now, needed_from + group_delay(source, inputs)));
    }
    if (now >= *source.probe_at) {
        source.probe_at.reset();
        source.probe_in_flight = true;
        actions.emplace_back(ProbeStore{});
    }
}

}  // namespace

void on_stated_age(ReaderLink& link, const StatedAge& stated, Time now) {
    const Time as_of = data_time(link.clock, stated, link.opened, now);
    link.last_message = now;
    link.as_of = std::max(link.as_of.value_or(as_of), as_of);
}

void set_members(StoreSource& source, const Member& self, const std::vector<Member>& members,
                 Time now) {
    source.readers = readers_for(self, members, {}, now);
    source.is_reader = source.readers.empty();
    source.rank = source.readers.size();
    const std::int64_t nodes = std::count_if(
        members.begin(), members.end(),
        [&self](const Member& member) { return member.data_centre == self.data_centre; });
    source.late_nodes =
        std::max<std::size_t>(static_cast<std::size_t>(nodes), TAKEOVER_NODES + 1) - TAKEOVER_NODES;
    if (source.is_reader) {
        source.readers = substitutes_for(self, members, TAKEOVER_NODES);
    }
    if (!source.members_known) {
        source.members_known = true;
        source.waits_until = source.is_reader ? now : now + READER_WAIT;
    }
}

std::string data_origin(const StoreSource& source, const SourceInputs& inputs) {
    return inputs.own_contact > source.last_contact ? inputs.self.node : source.origin;
}

bool is_following(const StoreSource& source, const SourceInputs& inputs) {
    return !source.reading && inputs.upstream != nullptr && !inputs.upstream->ended &&
           age_of(*inputs.upstream, inputs.now) <= inputs.timing.max_age;
}

std::vector<SourceAction> decide(StoreSource& source, const SourceInputs& inputs, Random& random) {
    std::vector<SourceAction> actions;
    record_contact(source, inputs);
    if (source.is_reader && !source.reading) {
        start_reading(source, inputs, actions);
    }
    if (drop_upstream(source, inputs, actions)) {
        return actions;
    }
    const bool upstream_is_recent = is_recent(inputs.upstream, inputs);
    if (source.reading && !source.is_reader && upstream_is_recent &&
        may_hand_over_to(*inputs.upstream, source)) {
        source.reading = false;
        actions.emplace_back(StopReading{});
        return actions;
    }
    if (!source.is_reader && source.members_known && reads_in_vain(source, inputs)) {
        source.reading = false;
        // Its reads count as a failed probe, so that the next one is made after a random pause.
        source.failed_probes = 1;
        actions.emplace_back(GiveUpReading{});
        return actions;
    }
    // A node that has taken over reading looks for a reader to give it back to.
    const bool has_recent_updates =
        source.is_reader ? !reads_in_vain(source, inputs) : upstream_is_recent;
    const bool may_follow = source.members_known || inputs.now >= source.waits_until;
    if (has_recent_updates) {
        source.offer.reset();
    }
    if (inputs.candidate != nullptr) {
        check_candidate(source, inputs, actions);
    } else if (!has_recent_updates && may_follow) {
        open_candidate(source, inputs, actions);
    }
    if (!source.reading) {
        check_store(source, inputs, random, actions);
    }
    return actions;
}

void on_offer(StoreSource& source, const Member& node) {
    source.offer = node;
}

void on_probe_result(StoreSource& source, bool answered, Time now) {
    source.probe_in_flight = false;
    if (answered) {
        source.probe_answered_at = now;
    } else {
        ++source.failed_probes;
    }
}

}  // namespace ebonymount
