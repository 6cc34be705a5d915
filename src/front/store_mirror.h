// A node's copy of the platform's store objects, kept so that it can be passed on to other nodes.
//
// Updates of one kind may come from the store and from another node, in any order. The mirror
// accepts only what is newer than its own copy, so a late or stale source reverts nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "platform/store_calls.h"
#include "policy/reader_clock.h"

namespace ebonymount {

/// A complete list of one kind, or changes to it.
struct KindUpdate {
    platform::Kind kind = platform::Kind::config;
    bool is_list = false;
    /// The store was unreachable before the list was read, so entries may have expired.
    bool after_outage = false;
    /// The store's revision after this update.
    std::int64_t revision = 0;
    std::vector<platform::StoredObject> objects;

    friend bool operator==(const KindUpdate&, const KindUpdate&) = default;
};

/// One message from a node to its followers.
struct StoreUpdate {
    /// Empty in a heartbeat.
    std::optional<KindUpdate> change;
    StatedAge stated;
    /// The store failed a short time ago, so its recent data may be many seconds old.
    bool store_failed_recently = false;
    /// The node that reads the store and from which the sender's data comes; empty if unknown.
    std::string origin{};

    friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

/// Encodes a message as one line of JSON that ends with a newline. The decoder expects the line
/// without the newline; a malformed line gives a `protocol` error.
std::string encode(const StoreUpdate& update);
Result<StoreUpdate> decode_store_update(std::string_view line);

/// Encodes a message in compressed form, for lists: when all nodes start at once, the readers'
/// links limit how soon they have their state. The decoder accepts both forms.
std::string encode_compressed(const StoreUpdate& update);

/// Objects of one kind as of a revision.
struct MirroredKind {
    std::map<std::string, platform::StoredObject> objects;
    std::int64_t revision = 0;
    /// When a list was last read after an outage.
    std::optional<Time> listed_after_outage;
};

using StoreMirror = std::map<platform::Kind, MirroredKind>;

/// Applies an update to the mirror and returns the part of it to pass on: a list as a whole, unless
/// the mirrored copy is newer, and of changes only those newer than the mirrored objects. Empty if
/// there is nothing to pass on.
std::optional<KindUpdate> merge_update(StoreMirror& mirror, KindUpdate update, Time now);

/// Store revision of the mirrored copy of a kind; 0 if the kind has not been read.
std::int64_t revision_of(const StoreMirror& mirror, platform::Kind kind);

/// True when every kind has been read.
bool is_complete(const StoreMirror& mirror);

/// Store revision of each kind that a node has a copy of; other kinds are left out.
using KindRevisions = std::map<platform::Kind, std::int64_t>;

KindRevisions revisions_of(const StoreMirror& mirror);

/// What a node tells a reader when it begins to follow it.
struct FollowRequest {
    KindRevisions known;
    /// The node can decode compressed messages.
    bool accepts_compressed = false;

    friend bool operator==(const FollowRequest&, const FollowRequest&) = default;
};

/// Anything that the decoder cannot read counts as a kind without a copy.
std::string encode(const FollowRequest& request);
FollowRequest decode_follow_request(const std::string& text);

/// Encodes a node that offers its data. Empty if the text describes no node that can be followed.
std::string encode(const Member& node);
std::optional<Member> decode_member(const std::string& text);

/// Returns a list of each kind of which the mirrored copy is newer than `known`, to be sent to a
/// new follower that knows those revisions.
std::vector<KindUpdate> lists_of(const StoreMirror& mirror, const KindRevisions& known, Time now);

}  // namespace ebonymount
