// Where a node that does not read the platform's store gets its updates: which reader it follows,
// and when it goes to the store itself.
//
// Old updates have two causes that look alike: the reader has failed, or the store has. If every
// follower answered the second one with reads of its own, the calls to a store in trouble would
// grow with the fleet (a thundering herd). So a node in need first makes a single cheap call, the
// half-open probe of a circuit breaker, and reads the store only if that succeeds and no reader has
// recovered by then. Probes are staggered by rank: in each data centre a few nodes go first, each
// later group is twice as large, and while a reader is connected and reports that it cannot reach
// the store either, the rest probes one after the other, and then at random times.
//
// Nodes never wait for each other in a circle. A node that does not know the others follows nobody,
// and calls the store for their list until it has it, from the store or from a node that has state.
// A node that knows the others probes the store whatever its reader sends, as long as that is old.
// A node that has taken over reading gives it back only for data that a node before it in the
// common order reads. Otherwise it could give it to a reader that is recent because it follows this
// very node, and nobody would read.
//
// A node that is no reader and whose own reads do not succeed gives them up and probes again. Nodes
// that took themselves for readers, as they have read an early list of nodes, or that have all
// begun to read at the same time, would otherwise overload the store for as long as it answers
// nobody.
//
// A reader that cannot reach the store is still connected to its followers. A follower that can,
// and has begun to read, offers its data to that reader, which then follows it; all others stay
// where they are and are recent again, whichever node it was.
//
// `decide` is a step function: it reads no clock and does no I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/reader_clock.h"
#include "policy/store_readers.h"

namespace ebonymount {

/// What a node knows of a reader whose stream of updates it has opened.
struct ReaderLink {
    Member reader;
    Time opened{};
    /// When the reader's data was last complete, by this node's clock; empty until its first
    /// message. Not later than in truth.
    std::optional<Time> as_of;
    /// When the reader's last message arrived.
    std::optional<Time> last_message;
    bool ended = false;
    ReaderClock clock{};
    /// The node that reads the store and from which the reader's data comes, as its last message
    /// said; empty if it did not say.
    std::string origin{};
};

/// Where a node's store data comes from and how old it is; written to log lines.
struct SourceReport {
    /// The reader that the node follows; empty if there is none.
    std::string reader;
    bool reads_itself = false;
    Duration age{};

    friend bool operator==(const SourceReport&, const SourceReport&) = default;
};

/// State of a node's choice of source.
struct StoreSource {
    bool members_known = false;
    /// The node is one of the readers of its data centre.
    bool is_reader = false;
    /// Nodes that this one may follow, preferred first. A reader follows others only while it
    /// cannot reach the store, and goes on trying to.
    std::vector<Member> readers;
    /// Number of nodes of the data centre that take over reading before this one.
    std::size_t rank = 0;
    /// Number of nodes of the data centre that probe at random times.
    std::size_t late_nodes = 0;
    /// A node that reads the store and has offered its data.
    std::optional<Member> offer;
    /// The node reads the store itself.
    bool reading = false;
    Time reading_since{};
    /// While it reads the store itself, it follows no reader before this time.
    Time may_follow_at{};
    /// As of when this node's data is complete, and the node that read it from the store; empty if
    /// that is unknown.
    Time last_contact{};
    std::string origin;
    /// While the node has no updates at all: when it stops waiting for others to supply them.
    Time waits_until{};
    /// Readers that failed, with the time until which they are not followed.
    AvoidedReaders avoided;
    Time next_candidate_at{};
    /// Consecutive candidates without recent updates.
    std::size_t stale_candidates = 0;
    /// The next probe; empty while the updates are recent.
    std::optional<Time> probe_at;
    bool probe_in_flight = false;
    int failed_probes = 0;
    /// When the store answered a probe; the node reads the store shortly after, unless a reader has
    /// recovered.
    std::optional<Time> probe_answered_at;
};

/// Inputs of one decision.
struct SourceInputs {
    const Member& self;
    /// Addresses of nodes that may be followed while the list of nodes is not known. Only their
    /// addresses are known, so an address also serves as the node's name.
    const std::vector<std::string>& initial_peers;
    const StoreReadTiming& timing;
    /// The reader that is followed, and the one that is tried next; null if there is none.
    const ReaderLink* upstream = nullptr;
    const ReaderLink* candidate = nullptr;
    /// When the store last responded to this node's own reads.
    Time own_contact{};
    /// The node reads the store itself, and its last call failed.
    bool own_reads_fail = false;
    /// Every kind of state is known.
    bool has_state = false;
    Time now{};
};

/// Opens a stream from a reader, the new candidate.
struct OpenCandidate {
    Member reader;
};
/// Closes the candidate's stream.
struct DropCandidate {
    const char* reason = "";
};
/// Closes the stream of the reader that is followed.
struct DropUpstream {
    const char* reason = "";
};
/// Follows the candidate. The node no longer reads the store itself, unless `reading` is still set.
struct FollowCandidate {};
/// Makes one cheap call to the store; its result is reported with `on_probe_result`.
struct ProbeStore {};
/// Reads the store itself. The stream of the reader stays open until the store has responded.
struct StartReading {};
/// Tells a reader that cannot reach the store that this node reads it.
struct OfferData {
    Member reader;
};
/// Follows the reader again, whose updates are recent.
struct StopReading {};
/// Leaves the store to the readers, as it does not answer this node in time.
struct GiveUpReading {};
using SourceAction = std::variant<OpenCandidate, DropCandidate, DropUpstream, FollowCandidate,
                                  ProbeStore, StartReading, OfferData, StopReading, GiveUpReading>;

/// The node that reads the store and from which this node's data comes; empty if it has none.
std::string data_origin(const StoreSource& source, const SourceInputs& inputs);

/// Applies what a message of the reader, read at `now`, states about its data.
void on_stated_age(ReaderLink& link, const StatedAge& stated, Time now);

/// Applies a list of the registered nodes.
void set_members(StoreSource& source, const Member& self, const std::vector<Member>& members,
                 Time now);

/// True if the node follows a reader with recent updates.
bool is_following(const StoreSource& source, const SourceInputs& inputs);

/// Decides what to do now; to be called several times a second.
std::vector<SourceAction> decide(StoreSource& source, const SourceInputs& inputs, Random& random);

/// Reports that another node of the data centre reads the store and offers its data.
void on_offer(StoreSource& source, const Member& node);

/// Reports the result of a `ProbeStore`.
void on_probe_result(StoreSource& source, bool answered, Time now);

}  // namespace ebonymount
